import java.io.PrintStream;
import java.nio.file.Path;

/** Runs a case: prepares its record and its fleet, and turns its result into an exit code. */
final class Case {

  static final int HELD = 0;

  /** Not 1, the code of a virtual machine that fails by itself. */
  static final int BROKEN = 10;

  static final int NOT_RUN = 2;

  /** The steps of a case; returns one of the codes above. */
  interface Steps {
    int run(Record record, Fleet fleet, boolean trouble) throws Exception;
  }

  private Case() {}

  /**
   * Runs a case and ends the process with its code.
   *
   * @param args the file of the record, and 1 with the disruption, 0 without it
   * @param zones the number of zones
   * @param perZone the number of entries in each zone
   * @param steps the case
   */
  static void run(String[] args, int zones, int perZone, Steps steps) {
    int code = NOT_RUN;
    try (Record record = new Record(Path.of(args[0]));
        Fleet fleet = new Fleet(zones, perZone)) {
      Runtime.getRuntime()
          .addShutdownHook(new Thread(() -> EntryProcess.stopAll(fleet.entries())));
      code = steps.run(record, fleet, args[1].equals("1"));
      record.say("result: " + code);
    } catch (Exception | Error e) {
      code = NOT_RUN;
      e.printStackTrace(new PrintStream(System.out, true));
    }
    System.exit(code);
  }
}
