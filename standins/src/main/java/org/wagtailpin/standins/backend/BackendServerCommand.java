package org.wagtailpin.standins.backend;

import io.netty.channel.EventLoopGroup;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.transport.EventLoops;

/** Command that runs one stand-in backend server until the process is terminated. */
public final class BackendServerCommand {

  private static final int EXIT_OK = 0;
  private static final int EXIT_USAGE = 2;

  @Option(name = "--address", usage = "IP address to listen on")
  private String address = "127.0.0.1";

  @Option(name = "--port", usage = "TCP port to listen on, 0 for a free one")
  private int port;

  @Option(name = "--name", usage = "name of the server in its answers")
  private String name = "server";

  @Option(name = "--slots", usage = "requests run at once")
  private int slots = 6;

  @Option(name = "--queue", usage = "requests that wait before more are refused")
  private int queueLimit = 100;

  @Option(name = "--service-millis", usage = "mean service time, ms")
  private double meanServiceMillis = 5;

  @Option(name = "--straggler-share", usage = "share of requests that take much longer, 0 to 1")
  private double stragglerShare;

  @Option(name = "--straggler-factor", usage = "how many times longer those take")
  private double stragglerFactor = 1;

  @Option(name = "--probe-millis", usage = "time to answer a load probe, ms")
  private double probeDelayMillis;

  @Option(name = "--network-millis", usage = "one-way network delay added, ms")
  private double networkDelayMillis;

  @Option(name = "--cold-start-millis", usage = "how long the server is slow at first, ms")
  private long coldStartMillis;

  @Option(name = "--cold-start-factor", usage = "how many times slower it is at first")
  private double coldStartFactor = 1;

  @Option(name = "--threads", usage = "event loops")
  private int threads = 1;

  @Option(name = "--seed", usage = "seed of the service times")
  private long seed = 1;

  @Option(name = "--help", help = true, usage = "print this text")
  private boolean help;

  /**
   * Runs the command.
   *
   * @param args the arguments after the command's name
   * @param out where the address is printed once the server listens
   * @param err where errors and usage are printed
   * @return the exit code, once the server has stopped: 0 done, 2 usage
   */
  public int run(String[] args, PrintStream out, PrintStream err) {
    CmdLineParser parser = new CmdLineParser(this);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println(e.getMessage());
      parser.printUsage(err);
      return EXIT_USAGE;
    }
    if (help) {
      parser.printUsage(out);
      return EXIT_OK;
    }
    serve(out);
    return EXIT_OK;
  }

  private void serve(PrintStream out) {
    EventLoopGroup group = EventLoops.create(threads, "backend-server");
    ServerProfile profile =
        new ServerProfile(
            name,
            slots,
            queueLimit,
            meanServiceMillis,
            stragglerShare,
            stragglerFactor,
            probeDelayMillis,
            networkDelayMillis,
            coldStartMillis,
            coldStartFactor,
            seed);
    try (BackendServerStandIn server =
        new BackendServerStandIn(profile, new SystemClock(), group, new ExecutionCounter())) {
      InetSocketAddress listening = server.start(new InetSocketAddress(address, port));
      out.println("listening on " + listening.getHostString() + ":" + listening.getPort());
      group.terminationFuture().syncUninterruptibly();
    }
  }
}
