package org.hyssopport.console;

import com.google.common.flogger.FluentLogger;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which would end the process otherwise.
 *
 * <p>The JDK offers this only by {@code sun.misc.Signal}, which javac warns of and no option
 * silences; so it is reached by reflection.
 */
final class HangUpSignal {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private HangUpSignal() {}

  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  action.run();
                }
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
    } catch (ReflectiveOperationException e) {
      LOGGER.atWarning().withCause(e).log("SIGHUP is not handled and would end the process");
    }
  }
}
