package org.hyssopport.launcher;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.EngineSettings;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.policy.Finding;

/**
 * The settings of an entry instance.
 *
 * @param name the instance's name in the live list
 * @param failureDomain the instance's failure domain
 * @param allDomains all failure domains of the cell
 * @param listen host and port of the HTTP interface for callers and operators
 * @param peerListen host and port of the peer link
 * @param log host and port of the platform's log
 * @param liveList host and port of the platform's live list
 * @param appendsPerSecond the maximum number of appends to the log per second
 * @param drainLimit the maximum duration of a drain
 * @param faultSwitch whether failure tests may cut failure domains off the peer link by HTTP
 * @param engine the settings of the engine
 * @since 0.1
 */
public record ServeSettings(
    String name,
    String failureDomain,
    List<String> allDomains,
    String listen,
    String peerListen,
    String log,
    String liveList,
    int appendsPerSecond,
    Duration drainLimit,
    boolean faultSwitch,
    EngineSettings engine) {

  private static final String NAME_FORMAT = "[a-z0-9][a-z0-9-]{0,59}";
  private static final Duration MAXIMUM_DRAIN = Duration.ofMinutes(10);

  /** Copies the list of failure domains. */
  public ServeSettings {
    allDomains = List.copyOf(allDomains);
  }

  /** Validates these settings; returns all findings, each with its flag, or an empty list. */
  public List<Finding> validate() {
    List<Finding> findings = new ArrayList<>();
    checkName("--name", name, findings);
    checkName("--failure-domain", failureDomain, findings);
    if (!allDomains.contains(failureDomain)) {
      String message = "must contain " + failureDomain + ", but is " + allDomains;
      findings.add(new Finding("--failure-domains", message));
    }
    checkAddress("--listen", listen, findings);
    checkAddress("--peer-listen", peerListen, findings);
    checkAddress("--log", log, findings);
    checkAddress("--live-list", liveList, findings);
    if (listen.equals(peerListen)) {
      findings.add(new Finding("--peer-listen", "must differ from --listen: " + listen));
    }
    if (appendsPerSecond < 1) {
      findings.add(
          new Finding("--appends-per-second", "must be at least 1, but is " + appendsPerSecond));
    }
    if (drainLimit.isNegative() || drainLimit.compareTo(MAXIMUM_DRAIN) > 0) {
      findings.add(
          new Finding("--drain-limit", "must be from PT0S to PT10M, but is " + drainLimit));
    }
    checkDurations(findings);
    return findings;
  }

  private void checkDurations(List<Finding> findings) {
    Duration minimumHorizon = engine.startWindow().plus(engine.leaseLength());
    if (engine.horizonLength().compareTo(minimumHorizon) < 0) {
      findings.add(
          new Finding(
              "--horizon",
              "must be at least " + minimumHorizon + ", but is " + engine.horizonLength()));
    }
    if (engine.retention().compareTo(engine.horizonLength().multipliedBy(2)) < 0) {
      findings.add(
          new Finding(
              "--retention", "must be at least twice the horizon, but is " + engine.retention()));
    }
  }

  private static void checkName(String flag, String value, List<Finding> findings) {
    if (!value.matches(NAME_FORMAT)) {
      findings.add(new Finding(flag, "must be at most 60 of a-z, 0-9 and -, but is " + value));
    }
  }

  private static void checkAddress(String flag, String value, List<Finding> findings) {
    if (HostAndPort.parse(value).isEmpty()) {
      findings.add(new Finding(flag, "must be host:port with a port to 65535, but is " + value));
    }
  }

  FailureDomain toFailureDomain() {
    return new FailureDomain(failureDomain);
  }

  List<FailureDomain> toFailureDomains() {
    return allDomains.stream().map(FailureDomain::new).toList();
  }

  /**
   * A network address.
   *
   * @param host the host name or IP address
   * @param port the TCP port
   */
  record HostAndPort(String host, int port) {

    private static final int MAXIMUM_PORT = 65_535;

    static Optional<HostAndPort> parse(String text) {
      int colon = text.lastIndexOf(':');
      String port = text.substring(colon + 1);
      if (colon <= 0 || !port.matches("\\d{1,5}") || Integer.parseInt(port) > MAXIMUM_PORT) {
        return Optional.empty();
      }
      return Optional.of(new HostAndPort(text.substring(0, colon), Integer.parseInt(port)));
    }
  }
}
