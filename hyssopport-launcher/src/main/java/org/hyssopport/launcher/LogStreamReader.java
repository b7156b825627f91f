package org.hyssopport.launcher;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.hyssopport.engine.Event;
import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.protocol.LogClient;
import org.hyssopport.protocol.LogClient.StreamPage;

/** The thread that reads one stream of the log. */
final class LogStreamReader implements Runnable {

  private static final Duration LONGEST_WAIT = Duration.ofSeconds(5);
  private static final Duration PAUSE_AFTER_FAULT = Duration.ofMillis(200);

  private final LogClient client;
  private final StreamName stream;
  private final EngineLoop loop;
  private final InstantSource clock;
  private volatile boolean stopped;
  private long nextOffset;

  LogStreamReader(LogClient client, StreamName stream, EngineLoop loop, InstantSource clock) {
    this.client = client;
    this.stream = stream;
    this.loop = loop;
    this.clock = clock;
  }

  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    boolean first = true;
    while (!stopped) {
      Duration wait = first ? Duration.ZERO : LONGEST_WAIT;
      Either<String, StreamPage> page =
          client.read(stream, nextOffset, clock.instant().plus(wait)).join();
      if (page.isRight()) {
        take(page.get(), first);
        first = false;
      } else {
        pause();
      }
    }
  }

  private void take(StreamPage page, boolean first) {
    boolean lapsed = page.firstRetained() > nextOffset;
    if (lapsed) {
      nextOffset = page.firstRetained();
    } else {
      nextOffset += page.records().size();
    }
    if (first || lapsed || !page.records().isEmpty()) {
      boolean caughtUp = nextOffset >= page.next();
      loop.put(new Event.StreamRead(stream, page.firstRetained(), page.records(), caughtUp));
    }
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(PAUSE_AFTER_FAULT.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
