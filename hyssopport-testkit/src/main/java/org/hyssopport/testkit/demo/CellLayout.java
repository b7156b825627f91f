package org.hyssopport.testkit.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.LiveInstance;
import org.hyssopport.engine.platform.LiveInstance.Kind;
import org.hyssopport.engine.platform.LiveInstance.State;
import org.hyssopport.policy.Resources;

/**
 * Assigns the instances of a demonstration cell their names and ports on the loopback interface.
 *
 * @param firm the firm whose cell it is
 * @param basePort the port of the log; the live list has the next one
 * @param entriesPerDomain the number of entry instances in each failure domain
 * @param workersPerDomain the number of workers in each failure domain
 * @since 0.1
 */
public record CellLayout(Firm firm, int basePort, int entriesPerDomain, int workersPerDomain) {

  private static final int ENTRY_PORT_OFFSET = 10;
  private static final int PEER_PORT_OFFSET = 40;
  private static final int WORKER_PORT_OFFSET = 100;
  private static final int WORKERS_PER_RACK = 8;
  private static final int SLOTS = 8;
  private static final int CONNECTIONS = 64;

  /** Returns the address of the log. */
  public String logAddress() {
    return loopbackAddress(basePort);
  }

  /** Returns the address of the live list. */
  public String liveListAddress() {
    return loopbackAddress(basePort + 1);
  }

  /** Returns all instances in the form in which the live list publishes them. */
  public List<LiveInstance> instances() {
    List<LiveInstance> instances = new ArrayList<>();
    int domainIndex = 0;
    for (String domain : firm.failureDomains()) {
      for (int index = 0; index < entriesPerDomain; index++) {
        instances.add(newEntry(domain, domainIndex * entriesPerDomain + index, index + 1));
      }
      for (int index = 0; index < workersPerDomain; index++) {
        instances.add(newWorker(domain, domainIndex * workersPerDomain + index, index + 1));
      }
      domainIndex++;
    }
    return instances;
  }

  private LiveInstance newEntry(String domain, int portIndex, int number) {
    return new LiveInstance(
        domain + "-entry-" + number,
        Kind.ENTRY,
        new FailureDomain(domain),
        domain + "-rack-0",
        loopbackAddress(basePort + ENTRY_PORT_OFFSET + portIndex),
        Optional.of(loopbackAddress(basePort + PEER_PORT_OFFSET + portIndex)),
        State.LIVE,
        Resources.NONE,
        0,
        0);
  }

  private LiveInstance newWorker(String domain, int portIndex, int number) {
    return new LiveInstance(
        domain + "-worker-" + number,
        Kind.WORKER,
        new FailureDomain(domain),
        domain + "-rack-" + (1 + (number - 1) / WORKERS_PER_RACK),
        loopbackAddress(basePort + WORKER_PORT_OFFSET + portIndex),
        Optional.empty(),
        State.LIVE,
        firm.workerCapacity(),
        SLOTS,
        CONNECTIONS);
  }

  /** Returns the entry instances. */
  public List<LiveInstance> entries() {
    return instances().stream().filter(each -> each.kind() == Kind.ENTRY).toList();
  }

  /** Returns the workers. */
  public List<LiveInstance> workers() {
    return instances().stream().filter(each -> each.kind() == Kind.WORKER).toList();
  }

  private static String loopbackAddress(int port) {
    return "127.0.0.1:" + port;
  }
}
