package org.hyssopport.testkit.platform;

/**
 * Names the loopback hosts of one process of tests.
 *
 * <p>Members listen on fixed ports, so two processes of tests that run at the same time need
 * different hosts.
 *
 * @since 0.2
 */
public final class LoopbackHosts {

  private static final int HOSTS_PER_GROUP = 250;
  private static final int GROUPS = 128;
  private static final int FIRST_GROUP = 64;

  private static final String PREFIX = prefixOf(ProcessHandle.current().pid());

  private LoopbackHosts() {}

  private static String prefixOf(long pid) {
    long group = FIRST_GROUP + pid / HOSTS_PER_GROUP % GROUPS;
    return "127." + group + "." + (1 + pid % HOSTS_PER_GROUP) + ".";
  }

  /**
   * Returns the address of a host of this process.
   *
   * @param number the number of the host, from 1 to 254
   * @throws IllegalArgumentException if the number is not in this range
   */
  public static String host(int number) {
    if (number < 1 || number > 254) {
      throw new IllegalArgumentException("host number must be from 1 to 254, but is " + number);
    }
    return PREFIX + number;
  }
}
