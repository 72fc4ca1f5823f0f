import java.io.IOException;

/** Daemon threads of stand-ins, which end with their sockets. */
final class Threads {

  /** Work that ends with an exception when its socket is closed. */
  interface Work {
    void run() throws IOException, InterruptedException;
  }

  private Threads() {}

  static Thread start(String name, Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException | InterruptedException e) {
                // The socket was closed or reset, as happens at the end of a connection.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
