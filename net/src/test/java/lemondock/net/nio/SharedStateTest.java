package lemondock.net.nio;

import lemondock.net.http.ByteBudget;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Validate;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.junit.jupiter.api.Test;

/** What threads share, through the interleavings of their steps. */
class SharedStateTest {
  /** Tasks from I/O threads, as {@link ThreadLoop#executeHere} hands them in. */
  public static class Tasks {
    private final FlatCombiner context = new FlatCombiner();
    private int inside;
    private int most;
    private int run;
    private volatile int brought;
    private volatile boolean woken;

    private void turn() {
      inside++;
      most = Math.max(most, inside);
      Runnable task = context.poll();
      if (task != null) {
        task.run();
      }
      inside--;
      context.leave();
    }

    @Operation
    public void bring() {
      context.add(() -> run++);
      if (!context.combine(2, this::turn)) {
        woken = true;
      }
    }

    @Validate
    public void noneIsLeftBehindAndNoTwoWereInside() {
      if (most > 1) {
        throw new IllegalStateException(most + " threads had the context at a time");
      }
      if (!woken && !context.isEmpty()) {
        throw new IllegalStateException("a task was left behind and nobody woken for it");
      }
    }
  }

  /** Bytes of requests, taken on I/O threads and given back by the loop. */
  public static class Bytes {
    private final ByteBudget budget = new ByteBudget(10);
    private volatile boolean over;

    @Operation
    public void takeAndGive() {
      if (budget.tryReserve(6)) {
        over |=
            budget.reservedBytes()
                > 10 + 6 + 6; // others may have asked in vain and not taken it back
        // yet
        budget.release(6);
      }
    }

    @Operation
    public void takeWithinAndGive() {
      if (budget.tryReserveWithin(0.5, 4)) {
        budget.release(4);
      }
    }

    @Validate
    public void allIsGivenBack() {
      if (budget.reservedBytes() != 0 || over) {
        throw new IllegalStateException("used " + budget.reservedBytes());
      }
    }
  }

  private static void check(Class<?> test) {
    LinChecker.check(
        test,
        new ModelCheckingOptions()
            .iterations(10)
            .threads(3)
            .actorsPerThread(2)
            .actorsBefore(0)
            .actorsAfter(0)
            .invocationsPerIteration(1_000));
  }

  @Test
  void tasksAreNotLeftBehind() {
    check(Tasks.class);
  }

  @Test
  void budgetsAreGivenBack() {
    check(Bytes.class);
  }
}
