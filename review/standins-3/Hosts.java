/** Loopback addresses that other processes of tests are unlikely to use at the same time. */
final class Hosts {

  private static final long PID = ProcessHandle.current().pid();
  private static final String PREFIX = "127." + (64 + PID / 250 % 128) + "." + (1 + PID % 250) + ".";

  private Hosts() {}

  /** Returns the address with a number from 1 to 254. */
  static String host(int number) {
    return PREFIX + number;
  }
}
