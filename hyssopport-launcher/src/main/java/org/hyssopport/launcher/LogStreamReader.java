package org.hyssopport.launcher;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.hyssopport.engine.Event;
import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.protocol.LogClient;
import org.hyssopport.protocol.LogClient.StreamPage;

/**
 * Reads one stream of the log and passes its records to the engine, on its own thread.
 *
 * <p>The first page is passed on even if it is empty, so that the engine learns whether it has
 * caught up with the stream. If the log dropped records before they were read, reading continues at
 * the first record that it still retains.
 */
final class LogStreamReader implements Runnable {

  private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(5);
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
    boolean firstPage = true;
    while (!stopped) {
      Duration wait = firstPage ? Duration.ZERO : MAXIMUM_WAIT;
      Either<String, StreamPage> page =
          client.read(stream, nextOffset, clock.instant().plus(wait)).join();
      if (page.isRight()) {
        handlePage(page.get(), firstPage);
        firstPage = false;
      } else {
        pause();
      }
    }
  }

  private void handlePage(StreamPage page, boolean firstPage) {
    boolean recordsExpired = page.firstRetained() > nextOffset;
    if (recordsExpired) {
      nextOffset = page.firstRetained();
    } else {
      nextOffset += page.records().size();
    }
    if (firstPage || recordsExpired || !page.records().isEmpty()) {
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
