import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Passes connections on. Those that are open can go silent for good while new ones work, and the
 * way can be cut: what is sent meanwhile arrives after the cut.
 */
final class LinkProxy implements AutoCloseable {

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;
  private boolean cut;

  private static final class Link {
    private final Socket outer;
    private final Socket inner = new Socket();
    private volatile boolean silent;

    private Link(Socket outer) {
      this.outer = outer;
    }

    private void close() {
      try {
        outer.close();
        inner.close();
      } catch (IOException e) {
        // Closed already.
      }
    }
  }

  LinkProxy(String host, int port, InetSocketAddress target) throws IOException {
    this.target = target;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 256);
    start(this::accept);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  private static void start(Runnable action) {
    Thread thread = new Thread(action, "proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!closed) {
      try {
        Link link = new Link(listener.accept());
        start(() -> connect(link));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Link link) {
    try {
      waitWhileCut();
      link.inner.connect(target, 1000);
      link.inner.setTcpNoDelay(true);
      link.outer.setTcpNoDelay(true);
    } catch (IOException | InterruptedException e) {
      link.close();
      return;
    }
    links.add(link);
    start(() -> pump(link, link.outer, link.inner));
    start(() -> pump(link, link.inner, link.outer));
  }

  private void pump(Link link, Socket from, Socket to) {
    byte[] buffer = new byte[8192];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int length = in.read(buffer);
      while (length >= 0) {
        waitWhileCut();
        if (!link.silent) {
          out.write(buffer, 0, length);
        }
        length = in.read(buffer);
      }
    } catch (IOException | InterruptedException e) {
      // One side is gone.
    }
    if (!link.silent) {
      // Of a silent connection, the other side learns nothing, not even its end.
      links.remove(link);
      link.close();
    }
  }

  private synchronized void waitWhileCut() throws InterruptedException {
    while (cut) {
      wait();
    }
  }

  /** Cuts the way, or heals it. */
  synchronized void setCut(boolean nowCut) {
    cut = nowCut;
    notifyAll();
  }

  /** Silences the connections that are open now; returns how many there are. */
  int silence() {
    int count = 0;
    for (Link link : links) {
      link.silent = true;
      count++;
    }
    links.clear();
    return count;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    links.forEach(Link::close);
  }
}
