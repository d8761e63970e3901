/*
 * A library for LD_PRELOAD that makes system calls of one process fail in ways that Linux documents, and offsets the wall clock that
 * the process sees.
 *
 * The environment variable LEMONDOCK_FAULTS names a control file of 64-bit words. The library maps it when the process starts;
 * the test may change the words at any time:
 *   0  milliseconds added to the wall clock
 *   1 to 8  how often a fault occurs, in parts of a million:
 *     1  accept fails, 2  socket fails, 3  connect fails, 4  reads and writes of sockets are interrupted, 5  they are short,
 *     6  a connection that this process opened times out, 7  writes to files fail or are short, 8  syncs of files fail
 *   9  seed of the random numbers, read only at the start
 *   10 to 12  how often a fault occurs, in parts of a million:
 *     10  reads and writes of sockets fail although the connection is intact, 11  epoll_ctl fails, 12  setsockopt fails
 * A call that fails has no other effect, except that a connection that times out is shut down for good.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { CLOCK, ACCEPT, SOCKET, CONNECT, INTERRUPT, SHORTEN, TIMEOUT, DISK_WRITE, DISK_SYNC, SEED, TRANSFER, POLL, OPTION, WORDS };

enum { MAX_DESCRIPTORS = 65536 };

/* The mapped control file; NULL if there is none, and then no call fails. */
static const volatile int64_t *control;
/*
 * Whether a descriptor is a socket that this process connected. Only such sockets time out: an accepted connection would time out
 * only if its client were unreachable as well.
 */
static volatile char outgoing[MAX_DESCRIPTORS];
static atomic_ullong random_state;

/* The C library's function of that name, which this library overrides; looked up once. */
#define REAL(name) ({ \
    static __typeof__(&name) real_function; \
    if (!real_function) { \
        real_function = (__typeof__(&name))dlsym(RTLD_NEXT, #name); \
    } \
    real_function; \
})

__attribute__((constructor)) static void map_control_file(void) {
    const char *path = getenv("LEMONDOCK_FAULTS");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    void *mapping = file < 0 ? MAP_FAILED : mmap(NULL, WORDS * sizeof(int64_t), PROT_READ, MAP_SHARED, file, 0);
    if (file >= 0) {
        close(file);
    }
    if (mapping != MAP_FAILED) {
        control = mapping;
        random_state = (unsigned long long)control[SEED] * 0x9E3779B97F4A7C15ULL + 1;
    }
}

/* Returns the next number of a SplitMix64 generator that all threads share. */
static unsigned long long next_random(void) {
    unsigned long long value = atomic_fetch_add(&random_state, 0x9E3779B97F4A7C15ULL);
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31);
}

/* Draws whether the fault, a word of the control file, occurs now. */
static int should_fail(int fault) {
    return control && control[fault] > 0 && (int64_t)(next_random() % 1000000) < control[fault];
}

/* Sets errno to one of the errors; returns -1, the result of the failed call. */
static int fail_with_one_of(const int *errors, int count) {
    errno = errors[next_random() % (unsigned)count];
    return -1;
}

/* Whether the descriptor is of a file type, such as S_IFSOCK; leaves errno unchanged. */
static int has_type(int fd, mode_t type) {
    struct stat status;
    int saved_errno = errno;
    int matches = fstat(fd, &status) == 0 && (status.st_mode & S_IFMT) == type;
    errno = saved_errno;
    return matches;
}

/* Errors of a socket's calls that pass: lack of memory, and a route that is missing for a moment (ip(7), recv(2), send(2)). */
static const int read_errors[] = {ENOMEM, ENOBUFS, EHOSTUNREACH};
static const int write_errors[] = {ENOMEM, ENOBUFS, ENETUNREACH};

/*
 * Whether a read or write of the descriptor fails now; if so, sets errno. Only sockets fail. The three errors are those of a
 * connection that stays intact.
 */
static int transfer_fails(int fd, const int *passing_errors) {
    if (!control || control[INTERRUPT] + control[TIMEOUT] + control[TRANSFER] <= 0 || !has_type(fd, S_IFSOCK)) {
        return 0;
    }
    if (should_fail(TRANSFER)) {
        fail_with_one_of(passing_errors, 3);
        return 1;
    }
    if (should_fail(INTERRUPT)) {
        errno = EINTR;
        return 1;
    }
    if ((unsigned)fd < MAX_DESCRIPTORS && outgoing[fd] && should_fail(TIMEOUT)) {
        static const int errors[] = {ETIMEDOUT, EHOSTUNREACH};
        shutdown(fd, SHUT_RDWR);
        fail_with_one_of(errors, 2);
        return 1;
    }
    return 0;
}

/* The number of bytes to transfer: a part of count if the transfer is to be short. */
static size_t shortened_count(int fd, size_t count) {
    return count > 1 && control && control[SHORTEN] > 0 && has_type(fd, S_IFSOCK) && should_fail(SHORTEN)
        ? 1 + next_random() % (count - 1) : count;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = REAL(clock_gettime)(clock, now);
    if (result == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = now->tv_nsec + (control[CLOCK] % 1000) * 1000000;
        now->tv_sec += control[CLOCK] / 1000 + (nanos < 0 ? -1 : nanos / 1000000000);
        now->tv_nsec = nanos < 0 ? nanos + 1000000000 : nanos % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict result_time, void *restrict time_zone) {
    (void)time_zone;
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    result_time->tv_sec = now.tv_sec;
    result_time->tv_usec = now.tv_nsec / 1000;
    return result;
}

time_t time(time_t *result_time) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result_time) {
        *result_time = now.tv_sec;
    }
    return now.tv_sec;
}

static const int accept_errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR};

/* Records that the descriptor, a number that may be reused, is not one that this process connected; returns it. */
static int mark_accepted(int fd) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS) {
        outgoing[fd] = 0;
    }
    return fd;
}

int accept(int fd, struct sockaddr *restrict peer, socklen_t *restrict length) {
    return should_fail(ACCEPT) ? fail_with_one_of(accept_errors, 4) : mark_accepted(REAL(accept)(fd, peer, length));
}

int accept4(int fd, struct sockaddr *restrict peer, socklen_t *restrict length, int flags) {
    return should_fail(ACCEPT) ? fail_with_one_of(accept_errors, 4) : mark_accepted(REAL(accept4)(fd, peer, length, flags));
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS};
    return should_fail(SOCKET) ? fail_with_one_of(errors, 2) : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *peer, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH, ETIMEDOUT, EINTR};
    if (should_fail(CONNECT)) {
        return fail_with_one_of(errors, 6);
    }
    if (fd >= 0 && fd < MAX_DESCRIPTORS) {
        outgoing[fd] = 1;
    }
    return REAL(connect)(fd, peer, length);
}

ssize_t read(int fd, void *buffer, size_t count) {
    return transfer_fails(fd, read_errors) ? -1 : REAL(read)(fd, buffer, shortened_count(fd, count));
}

ssize_t write(int fd, const void *buffer, size_t count) {
    static const int errors[] = {ENOSPC, EIO};
    if (control && control[DISK_WRITE] > 0 && has_type(fd, S_IFREG) && should_fail(DISK_WRITE)) {
        if (next_random() & 1) {
            return fail_with_one_of(errors, 2);
        }
        count = count > 1 ? count / 2 : count; /* a short write, as on a disk that becomes full */
    }
    return transfer_fails(fd, write_errors) ? -1 : REAL(write)(fd, buffer, shortened_count(fd, count));
}

ssize_t readv(int fd, const struct iovec *buffers, int count) {
    return transfer_fails(fd, read_errors) ? -1 : REAL(readv)(fd, buffers, count);
}

ssize_t writev(int fd, const struct iovec *buffers, int count) {
    return transfer_fails(fd, write_errors) ? -1 : REAL(writev)(fd, buffers, count);
}

int epoll_ctl(int epoll, int operation, int fd, struct epoll_event *event) {
    static const int errors[] = {ENOMEM, ENOSPC};
    return operation != EPOLL_CTL_DEL && should_fail(POLL) ? fail_with_one_of(errors, 2) : REAL(epoll_ctl)(epoll, operation, fd, event);
}

int setsockopt(int fd, int level, int option, const void *value, socklen_t length) {
    static const int errors[] = {ENOBUFS, ENOMEM};
    return should_fail(OPTION) ? fail_with_one_of(errors, 2) : REAL(setsockopt)(fd, level, option, value, length);
}

int fsync(int fd) {
    static const int errors[] = {EIO, ENOSPC};
    return should_fail(DISK_SYNC) ? fail_with_one_of(errors, 2) : REAL(fsync)(fd);
}

int fdatasync(int fd) {
    static const int errors[] = {EIO, ENOSPC};
    return should_fail(DISK_SYNC) ? fail_with_one_of(errors, 2) : REAL(fdatasync)(fd);
}
