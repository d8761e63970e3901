package lemondock.net.nio;

import lemondock.net.ByteBudget;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Validate;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.junit.jupiter.api.Test;

/** Model-checks state that threads share, over the interleavings of their steps. */
class SharedStateTest {
  /** Submission of tasks by I/O threads, as in {@link ThreadLoop#executeInline}. */
  public static class TaskSubmission {
    private final FlatCombiner context = new FlatCombiner();
    private int activeTurns;
    private int maxActiveTurns;
    private int tasksRun;
    private volatile int brought;
    private volatile boolean anotherThreadWoken;

    private void turn() {
      activeTurns++;
      maxActiveTurns = Math.max(maxActiveTurns, activeTurns);
      Runnable task = context.poll();
      if (task != null) {
        task.run();
      }
      activeTurns--;
      context.release();
    }

    @Operation
    public void submitTask() {
      context.add(() -> tasksRun++);
      if (!context.combine(2, this::turn)) {
        anotherThreadWoken = true;
      }
    }

    @Validate
    public void noTaskIsLostAndTurnsNeverOverlap() {
      if (maxActiveTurns > 1) {
        throw new IllegalStateException(
            maxActiveTurns + " threads held the context at the same time");
      }
      if (!anotherThreadWoken && !context.isEmpty()) {
        throw new IllegalStateException("a task is waiting and no thread was woken for it");
      }
    }
  }

  /** Request bytes reserved on I/O threads and released by the loop. */
  public static class BudgetReservation {
    private final ByteBudget budget = new ByteBudget(10);
    private volatile boolean exceeded;

    @Operation
    public void reserveAndRelease() {
      if (budget.tryReserve(6)) {
        exceeded |=
            budget.reservedBytes()
                > 10 + 6 + 6; // failed reservations of others may not be reverted yet
        budget.release(6);
      }
    }

    @Operation
    public void reserveWithinAndRelease() {
      if (budget.tryReserveWithin(0.5, 4)) {
        budget.release(4);
      }
    }

    @Validate
    public void allReservedBytesAreReleased() {
      if (budget.reservedBytes() != 0 || exceeded) {
        throw new IllegalStateException(
            "reserved bytes: " + budget.reservedBytes() + ", limit exceeded: " + exceeded);
      }
    }
  }

  private static void modelCheck(Class<?> scenario) {
    LinChecker.check(
        scenario,
        new ModelCheckingOptions()
            .iterations(10)
            .threads(3)
            .actorsPerThread(2)
            .actorsBefore(0)
            .actorsAfter(0)
            .invocationsPerIteration(1_000));
  }

  @Test
  void noTaskIsLostAndTurnsNeverOverlap() {
    modelCheck(TaskSubmission.class);
  }

  @Test
  void byteBudgetIsFullyReleased() {
    modelCheck(BudgetReservation.class);
  }
}
