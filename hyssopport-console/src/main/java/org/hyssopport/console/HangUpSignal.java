package org.hyssopport.console;

import com.google.common.flogger.FluentLogger;
import java.lang.reflect.Proxy;

/**
 * Installs a handler for SIGHUP, which would otherwise end the process.
 *
 * <p>The JDK offers signal handlers only through {@code sun.misc.Signal}. It is called by
 * reflection, since javac warns about direct use and has no option to suppress that warning.
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
      LOGGER.atWarning().withCause(e).log(
          "installing the SIGHUP handler failed; SIGHUP will end the process");
    }
  }
}
