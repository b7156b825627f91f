package org.hyssopport.testkit.demo;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Waits until every given address serves a page.
 *
 * @since 0.1
 */
public final class WaitForPage {

  private static final int MAXIMUM_ATTEMPTS = 150;
  private static final int PAUSE_MILLIS = 100;

  private WaitForPage() {}

  /** Takes the path and then the addresses, and exits with 0 once all have served it. */
  public static void main(String[] arguments) throws InterruptedException {
    DemoHttpClient client = DemoHttpClient.create();
    for (int index = 1; index < arguments.length; index++) {
      if (!isServed(client, arguments[index], arguments[0])) {
        System.err.println("no " + arguments[0] + " at " + arguments[index]);
        System.exit(1);
      }
    }
    System.exit(0);
  }

  private static boolean isServed(DemoHttpClient client, String address, String path)
      throws InterruptedException {
    for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      Optional<DemoHttpClient.Response> response =
          path.equals("/fault") ? client.post(address, path, "{}") : client.get(address, path);
      if (response.isPresent() && response.get().status() == 200) {
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    }
    return false;
  }
}
