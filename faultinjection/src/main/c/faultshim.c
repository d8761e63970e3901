/*
 * A library for LD_PRELOAD that lets the system calls of one process fail as Linux documents, and moves its wall clock.
 *
 * It is told by a file of ten 64-bit words, named by LEMONDOCK_FAULTS and mapped at the start, which the test may change at any time:
 *   0  milliseconds added to the wall clock
 *   1  accept fails, 2  socket fails, 3  connect fails, 4  reads and writes of sockets are interrupted, 5  they are short,
 *   6  a connection that this process opened times out, 7  writes to files fail, 8  syncs of files fail (each in parts of a million)
 *   9  seed
 * A failed call does nothing else; a connection that times out is broken for good.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { CLOCK, ACCEPT, SOCKET, CONNECT, INTERRUPT, SHORTEN, TIMEOUT, DISK_WRITE, DISK_SYNC, SEED, WORDS };

enum { MOST_FILES = 65536 };

static const volatile int64_t *told;
/* Sockets that this process connected: only these time out, for the peer of any other has then gone as well. */
static volatile char outgoing[MOST_FILES];
static atomic_ullong state;

/* The function of that name that stands behind this one, looked up once. */
#define REAL(name) ({ \
    static __typeof__(&name) found; \
    if (!found) { \
        found = (__typeof__(&name))dlsym(RTLD_NEXT, #name); \
    } \
    found; \
})

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("LEMONDOCK_FAULTS");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    void *at = file < 0 ? MAP_FAILED : mmap(NULL, WORDS * sizeof(int64_t), PROT_READ, MAP_SHARED, file, 0);
    if (file >= 0) {
        close(file);
    }
    if (at != MAP_FAILED) {
        told = at;
        state = (unsigned long long)told[SEED] * 0x9E3779B97F4A7C15ULL + 1;
    }
}

static unsigned long long next_random(void) {
    unsigned long long z = atomic_fetch_add(&state, 0x9E3779B97F4A7C15ULL);
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
}

static int strikes(int what) {
    return told && told[what] > 0 && (int64_t)(next_random() % 1000000) < told[what];
}

static int one_of(const int *errors, int count) {
    errno = errors[next_random() % (unsigned)count];
    return -1;
}

static int has_mode(int fd, mode_t kind) {
    struct stat about;
    int before = errno;
    int fits = fstat(fd, &about) == 0 && (about.st_mode & S_IFMT) == kind;
    errno = before;
    return fits;
}

/* Whether a transfer on a socket fails now; errno is set. */
static int transfer_fails(int fd) {
    if (!told || told[INTERRUPT] + told[TIMEOUT] <= 0 || !has_mode(fd, S_IFSOCK)) {
        return 0;
    }
    if (strikes(INTERRUPT)) {
        errno = EINTR;
        return 1;
    }
    if ((unsigned)fd < MOST_FILES && outgoing[fd] && strikes(TIMEOUT)) {
        static const int errors[] = {ETIMEDOUT, EHOSTUNREACH};
        shutdown(fd, SHUT_RDWR);
        one_of(errors, 2);
        return 1;
    }
    return 0;
}

static size_t shortened(int fd, size_t count) {
    return count > 1 && told && told[SHORTEN] > 0 && has_mode(fd, S_IFSOCK) && strikes(SHORTEN)
        ? 1 + next_random() % (count - 1) : count;
}

int clock_gettime(clockid_t clock, struct timespec *at) {
    int result = REAL(clock_gettime)(clock, at);
    if (result == 0 && told && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = at->tv_nsec + (told[CLOCK] % 1000) * 1000000;
        at->tv_sec += told[CLOCK] / 1000 + (nanos < 0 ? -1 : nanos / 1000000000);
        at->tv_nsec = nanos < 0 ? nanos + 1000000000 : nanos % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone) {
    (void)zone;
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return result;
}

time_t time(time_t *at) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at) {
        *at = now.tv_sec;
    }
    return now.tv_sec;
}

static const int accept_errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR};

static int accepted(int fd) {
    if (fd >= 0 && fd < MOST_FILES) {
        outgoing[fd] = 0;
    }
    return fd;
}

int accept(int fd, struct sockaddr *restrict peer, socklen_t *restrict length) {
    return strikes(ACCEPT) ? one_of(accept_errors, 4) : accepted(REAL(accept)(fd, peer, length));
}

int accept4(int fd, struct sockaddr *restrict peer, socklen_t *restrict length, int flags) {
    return strikes(ACCEPT) ? one_of(accept_errors, 4) : accepted(REAL(accept4)(fd, peer, length, flags));
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS};
    return strikes(SOCKET) ? one_of(errors, 2) : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *peer, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH, ETIMEDOUT, EINTR};
    if (strikes(CONNECT)) {
        return one_of(errors, 6);
    }
    if (fd >= 0 && fd < MOST_FILES) {
        outgoing[fd] = 1;
    }
    return REAL(connect)(fd, peer, length);
}

ssize_t read(int fd, void *into, size_t count) {
    return transfer_fails(fd) ? -1 : REAL(read)(fd, into, shortened(fd, count));
}

ssize_t write(int fd, const void *from, size_t count) {
    static const int errors[] = {ENOSPC, EIO};
    if (told && told[DISK_WRITE] > 0 && has_mode(fd, S_IFREG) && strikes(DISK_WRITE)) {
        if (next_random() & 1) {
            return one_of(errors, 2);
        }
        count = count > 1 ? count / 2 : count; /* a short write, as one that meets a full disk */
    }
    return transfer_fails(fd) ? -1 : REAL(write)(fd, from, shortened(fd, count));
}

ssize_t readv(int fd, const struct iovec *into, int count) {
    return transfer_fails(fd) ? -1 : REAL(readv)(fd, into, count);
}

ssize_t writev(int fd, const struct iovec *from, int count) {
    return transfer_fails(fd) ? -1 : REAL(writev)(fd, from, count);
}

int fsync(int fd) {
    static const int errors[] = {EIO, ENOSPC};
    return strikes(DISK_SYNC) ? one_of(errors, 2) : REAL(fsync)(fd);
}

int fdatasync(int fd) {
    static const int errors[] = {EIO, ENOSPC};
    return strikes(DISK_SYNC) ? one_of(errors, 2) : REAL(fdatasync)(fd);
}
