package org.hyssopport.testkit.demo;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Waits until every given address serves a page.
 *
 * @since 0.1
 */
public final class WaitForPage {

  private static final int MOST_TRIES = 150;
  private static final int PAUSE_MILLIS = 100;

  private WaitForPage() {}

  /** Takes the path and then the addresses, and exits with 0 once all have served it. */
  public static void main(String[] arguments) throws InterruptedException {
    DemoHttpClient probe = DemoHttpClient.create();
    for (int index = 1; index < arguments.length; index++) {
      if (!isServed(probe, arguments[index], arguments[0])) {
        System.err.println("no " + arguments[0] + " at " + arguments[index]);
        System.exit(1);
      }
    }
    System.exit(0);
  }

  private static boolean isServed(DemoHttpClient probe, String address, String path)
      throws InterruptedException {
    for (int attempt = 0; attempt < MOST_TRIES; attempt++) {
      Optional<DemoHttpClient.Response> page =
          path.equals("/fault") ? probe.post(address, path, "{}") : probe.get(address, path);
      if (page.isPresent() && page.get().status() == 200) {
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    }
    return false;
  }
}
