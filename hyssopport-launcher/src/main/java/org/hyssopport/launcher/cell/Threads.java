package org.hyssopport.launcher.cell;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Makes the executors of the duties. */
final class Threads {

  private static final long IDLE_SECONDS = 20;

  private Threads() {}

  /** Returns an executor that runs up to so many tasks at once and lets so many wait. */
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

  /** Returns an executor that runs each task at once, up to so many. */
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

  /** Starts a thread for a duty that lasts. */
  static Thread start(String name, Runnable action) {
    Thread thread = daemon(name, action);
    thread.start();
    return thread;
  }

  private static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /** Waits; returns false if the thread is to end. */
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
