package org.hyssopport.testkit.demo;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Waits until each of several addresses answers a path with status 200.
 *
 * @since 0.1
 */
public final class WaitForPage {

  private static final int MAXIMUM_ATTEMPTS = 150;
  private static final int PAUSE_MILLIS = 100;

  private WaitForPage() {}

  /**
   * Exits with 0 once all addresses have answered with status 200, or with 1 if one of them has not
   * after 150 attempts.
   *
   * @param arguments the path, then the addresses
   */
  public static void main(String[] arguments) throws InterruptedException {
    DemoHttpClient client = DemoHttpClient.create();
    for (int index = 1; index < arguments.length; index++) {
      if (!isServed(client, arguments[index], arguments[0])) {
        System.err.println(
            "no answer with status 200 for " + arguments[0] + " from " + arguments[index]);
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
