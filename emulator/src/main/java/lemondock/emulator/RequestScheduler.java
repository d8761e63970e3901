package lemondock.emulator;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;

/** Schedules an engine's jobs on its slots, with a FIFO queue. Loop thread only. */
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

  /** Whether a prompt of this length fits: a slot or queue place, and memory for its tokens. */
  boolean canAccept(int tokens) {
    boolean hasSlotOrQueuePlace = running < settings.slots() || queue.size() < settings.queue();
    return hasSlotOrQueuePlace && memory.fits(tokens);
  }

  /** Registers a job under its request id, without queueing it. */
  void track(EngineJob job) {
    jobs.put(job.request().id(), job);
  }

  /** Accepts a job, which starts as soon as a slot is free. */
  void submit(EngineJob job) {
    memory.allocate(job.request().promptTokens());
    job.setSchedulingState(EngineJob.SchedulingState.QUEUED);
    track(job);
    queue.add(job);
    startNext();
  }

  private void startNext() {
    while (running < settings.slots() && !queue.isEmpty()) {
      EngineJob job = queue.poll();
      if (!job.hasEnded()) {
        running++;
        job.setSchedulingState(EngineJob.SchedulingState.RUNNING);
        job.run();
      }
    }
  }

  void untrack(EngineJob job) {
    jobs.remove(job.request().id(), job);
  }

  /** Frees the slot and memory of a job; does nothing the second time. */
  void release(EngineJob job) {
    EngineJob.SchedulingState state = job.schedulingState();
    if (state == EngineJob.SchedulingState.NONE) {
      return;
    }
    job.setSchedulingState(EngineJob.SchedulingState.NONE);
    memory.free(job.request().promptTokens());
    queue.remove(job);
    untrack(job);
    if (state == EngineJob.SchedulingState.RUNNING) {
      running--;
      startNext();
    }
  }

  Optional<EngineJob> find(String requestId) {
    return Optional.ofNullable(jobs.get(requestId));
  }

  /** Finds the oldest job whose prompt has the given mark. */
  Optional<EngineJob> findByMark(String mark) {
    return jobs.values().stream()
        .filter(job -> job.request().source().mark().equals(mark))
        .findFirst();
  }
}
