package org.hyssopport.console;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures logging: one JSON object per line, at level INFO.
 *
 * <p>The configuration is code, since reading an XML file takes half of the time that a member
 * needs to start. Lines pass through a bounded queue that drops them when full, so that logging
 * never blocks.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {

  /**
   * The system property that names the stream for log lines, {@code System.err} by default, since
   * commands write their results to standard output.
   */
  static final String TARGET_PROPERTY = "hyssopport.log.target";

  private static final int QUEUE_SIZE = 512;

  /** Creates an instance; called by Logback through the service loader. */
  public LogSetup() {}

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.setWithFormattedMessage(true);
    encoder.setWithMessage(false);
    encoder.setWithArguments(false);
    encoder.setWithContext(false);
    encoder.setWithSequenceNumber(false);
    encoder.setWithNanoseconds(false);
    encoder.setWithMDC(false);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setTarget(System.getProperty(TARGET_PROPERTY, "System.err"));
    console.setEncoder(encoder);
    console.start();
    AsyncAppender queue = new AsyncAppender();
    queue.setContext(context);
    queue.setQueueSize(QUEUE_SIZE);
    queue.setNeverBlock(true);
    queue.addAppender(console);
    queue.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(queue);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
