import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The ways from each member to each other one, with a proxy in each.
 *
 * <p>Members announce the address that they listen at for others, so a proxy can't have one of its
 * own. The `ip` of each member is therefore a name, and each process has a file of hosts by which
 * its own name is its loopback address, and the names of the others are their proxies.
 */
final class PeerLinks {

  private record Way(int from, int to, LinkProxy proxy) {}

  private final List<Way> ways = new ArrayList<>();

  private PeerLinks() {}

  /** Starts members, as many as there are addresses of the advice service, and their proxies. */
  static PeerLinks start(Cell cell, List<String> advice) throws IOException {
    PeerLinks links = new PeerLinks();
    int members = advice.size();
    int lastHost = 150;
    for (int from = 1; from <= members; from++) {
      StringBuilder text = new StringBuilder();
      for (int to = 1; to <= members; to++) {
        String host = Hosts.host(to);
        if (to != from) {
          lastHost++;
          host = Hosts.host(lastHost);
          InetSocketAddress target = new InetSocketAddress(Hosts.host(to), Member.PEER_PORT);
          links.ways.add(new Way(from, to, new LinkProxy(host, Member.PEER_PORT, target)));
        }
        text.append(host).append(" edge-").append(to).append(".peer\n");
      }
      Path hosts = cell.directory.resolve("hosts-" + from);
      Files.writeString(hosts, text);
      cell.addMember(
          from,
          "edge-" + from + ".peer",
          advice.get(from - 1),
          Map.of("JDK_JAVA_OPTIONS", "-Djdk.net.hosts.file=" + hosts));
    }
    return links;
  }

  /** Silences all open connections for good; returns how many there are. */
  int silence() {
    return ways.stream().mapToInt(way -> way.proxy.silence()).sum();
  }

  /** Cuts a member off from the others, or heals that. */
  void setCutOff(int member, boolean cut) {
    for (Way way : ways) {
      if (way.from == member || way.to == member) {
        way.proxy.setCut(cut);
      }
    }
  }
}
