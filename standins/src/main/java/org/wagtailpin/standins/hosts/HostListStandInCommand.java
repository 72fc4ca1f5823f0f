package org.wagtailpin.standins.hosts;

import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.wagtailpin.clock.SystemClock;

/** Command that runs the host list stand-in until the process is terminated. */
public final class HostListStandInCommand {

  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  @Option(name = "--address", metaVar = "IP", usage = "IP address to listen on")
  private String address = "127.0.0.1";

  @Option(name = "--port", metaVar = "PORT", usage = "TCP port to listen on, 0 for any free one")
  private int port = 7500;

  @Option(
      name = "--lag-millis",
      metaVar = "N",
      usage = "delay before a change becomes visible, in milliseconds")
  private long lagMillis = 10_000;

  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  /**
   * Runs the command and blocks while the stand-in is listening.
   *
   * @param args the arguments after the command's name
   * @param out receives the help text and a line with the address once the stand-in listens
   * @param err receives usage and start-up errors
   * @return the exit code: 0 success, 1 failure, 2 usage error
   */
  public static int run(String[] args, PrintStream out, PrintStream err) {
    HostListStandInCommand command = new HostListStandInCommand();
    CmdLineParser parser = new CmdLineParser(command);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println(e.getMessage());
      parser.printUsage(err);
      return EXIT_USAGE;
    }
    if (command.help) {
      out.println("standin hosts: runs an in-memory host list that shows changes after a delay.");
      parser.printUsage(out);
      return EXIT_OK;
    }
    return command.listen(out, err);
  }

  private int listen(PrintStream out, PrintStream err) {
    try (HostListStandIn standIn =
        new HostListStandIn(bindAddress(), new SystemClock(), lagMillis)) {
      standIn.start();
      out.println("host list stand-in listens on " + standIn.address() + ", lag " + lagMillis);
      new CountDownLatch(1).await();
      return EXIT_OK;
    } catch (UnknownHostException e) {
      err.println("--address: found " + address + ", expected an IP address");
      return EXIT_USAGE;
    } catch (IllegalStateException e) {
      err.println(e.getMessage());
      return EXIT_FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_FAILED;
    }
  }

  private InetSocketAddress bindAddress() throws UnknownHostException {
    return new InetSocketAddress(InetAddress.getByName(address), port);
  }
}
