package org.hyssopport.launcher.cell;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Creates the daemon threads and executors of a member. */
final class Threads {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long IDLE_SECONDS = 20;

  private Threads() {}

  /**
   * Returns an executor with up to the given number of threads and a bounded queue; it rejects
   * tasks while the queue is full.
   */
  static ExecutorService bounded(String name, int threads, int queueCapacity) {
    ThreadPoolExecutor executor =
        new ThreadPoolExecutor(
            threads,
            threads,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(queueCapacity),
            task -> daemon(name, task));
    executor.allowCoreThreadTimeOut(true);
    return executor;
  }

  /**
   * Returns an executor that starts each task at once, without a queue. If all threads are busy,
   * the caller runs the task itself.
   */
  static ExecutorService immediate(String name, int maximumThreads) {
    return new ThreadPoolExecutor(
        0,
        maximumThreads,
        IDLE_SECONDS,
        TimeUnit.SECONDS,
        new SynchronousQueue<>(),
        task -> daemon(name, task),
        new ThreadPoolExecutor.CallerRunsPolicy());
  }

  /** Starts a daemon thread. */
  static Thread start(String name, Runnable action) {
    Thread thread = daemon(name, action);
    thread.start();
    return thread;
  }

  /**
   * Runs one round of a loop that must go on: an exception, for example from an odd record of
   * another process, is logged and ends this round only.
   */
  static void runRound(String loop, Runnable round) {
    try {
      round.run();
    } catch (RuntimeException e) {
      LOGGER.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log(
          "round of the loop %s failed; the next one follows", loop);
    }
  }

  private static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /** Sleeps; if interrupted, returns false and sets the thread's interrupt flag again. */
  static boolean pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
