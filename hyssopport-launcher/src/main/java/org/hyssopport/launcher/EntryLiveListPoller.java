package org.hyssopport.launcher;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hyssopport.engine.Event;
import org.hyssopport.engine.platform.LiveList;
import org.hyssopport.protocol.LiveListClient;

/** Polls the live list at a fixed interval and passes it to the engine, on its own thread. */
final class EntryLiveListPoller implements Runnable {

  private static final Duration INTERVAL = Duration.ofSeconds(2);

  private final LiveListClient client;
  private final EngineLoop loop;
  private volatile boolean stopped;

  EntryLiveListPoller(LiveListClient client, EngineLoop loop) {
    this.client = client;
    this.loop = loop;
  }

  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      Optional<LiveList> list = client.read().join();
      list.ifPresent(latest -> loop.put(new Event.LiveListRead(latest)));
      try {
        TimeUnit.MILLISECONDS.sleep(INTERVAL.toMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
