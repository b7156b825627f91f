package org.hyssopport.console;

/**
 * The exit codes of the program.
 *
 * @since 0.1
 */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The call or the configuration was refused, or work failed, did not run or did not finish. */
  REFUSED(1),
  /** Flags, files or settings are invalid. */
  USAGE(2),
  /** No entry instance answered. */
  UNREACHABLE(3),
  /** The call may or may not have taken effect. */
  UNKNOWN(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the exit status of the process. */
  public int code() {
    return code;
  }

  /** Returns the exit code for the HTTP status of a reply; 504 means an unknown outcome. */
  static ExitCode ofStatus(int status) {
    if (status < 300) {
      return OK;
    }
    return status == 504 ? UNKNOWN : REFUSED;
  }
}
