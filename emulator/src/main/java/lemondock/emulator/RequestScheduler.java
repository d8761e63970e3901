package lemondock.emulator;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;

/** The slots, the queue and the jobs of an engine. Loop thread only. */
final class RequestScheduler {
  private final EngineSettings settings;
  private final EngineMemory memory;
  private final Map<String, EngineJob> jobs = new LinkedHashMap<>();
  private final Queue<EngineJob> queue = new ArrayDeque<>();
  private int running;

  RequestScheduler(EngineSettings settings, EngineMemory memory) {
    this.settings = settings;
    this.memory = memory;
  }

  int running() {
    return running;
  }

  int queued() {
    return queue.size();
  }

  /** Whether there is room for a request of so many tokens. */
  boolean canAccept(int tokens) {
    boolean hasSlotOrPlace = running < settings.slots() || queue.size() < settings.queue();
    return hasSlotOrPlace && memory.fits(tokens);
  }

  /** Takes a request that will never get a slot. */
  void track(EngineJob job) {
    jobs.put(job.request().id(), job);
  }

  /** Takes a request, which runs at once or when a slot is free. */
  void submit(EngineJob job) {
    memory.allocate(job.request().promptTokens());
    job.setPlace(EngineJob.Place.QUEUED);
    track(job);
    queue.add(job);
    startNext();
  }

  private void startNext() {
    while (running < settings.slots() && !queue.isEmpty()) {
      EngineJob job = queue.poll();
      if (!job.isOver()) {
        running++;
        job.setPlace(EngineJob.Place.RUNNING);
        job.run();
      }
    }
  }

  void untrack(EngineJob job) {
    jobs.remove(job.request().id(), job);
  }

  /** Frees the slot and the memory of a request, once. */
  void release(EngineJob job) {
    EngineJob.Place place = job.place();
    if (place == EngineJob.Place.NONE) {
      return;
    }
    job.setPlace(EngineJob.Place.NONE);
    memory.free(job.request().promptTokens());
    queue.remove(job);
    untrack(job);
    if (place == EngineJob.Place.RUNNING) {
      running--;
      startNext();
    }
  }

  Optional<EngineJob> find(String requestId) {
    return Optional.ofNullable(jobs.get(requestId));
  }

  /** The first job whose prompt has a mark. */
  Optional<EngineJob> findByMark(String mark) {
    return jobs.values().stream()
        .filter(job -> job.request().source().mark().equals(mark))
        .findFirst();
  }
}
