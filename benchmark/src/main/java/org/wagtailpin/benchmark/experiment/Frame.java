package org.wagtailpin.benchmark.experiment;

import io.netty.buffer.ByteBuf;

/**
 * What an entry and a stand-in server tell each other, of one fixed length for both ways.
 *
 * @param id the number of the attempt on its connection
 * @param call the number of the call in its run
 * @param workMicros the work asked for, in microseconds
 * @param status the HTTP status code of the answer, 0 in a request
 * @param inFlight the reported work in slots
 * @param queued the reported work that waits
 * @param leaving whether the server says that it is leaving
 */
record Frame(
    long id, int call, int workMicros, int status, int inFlight, int queued, boolean leaving) {

  static final int LENGTH_BYTES = 29;

  static Frame request(long id, int call, int workMicros) {
    return new Frame(id, call, workMicros, 0, 0, 0, false);
  }

  static Frame read(ByteBuf in) {
    return new Frame(
        in.readLong(),
        in.readInt(),
        in.readInt(),
        in.readInt(),
        in.readInt(),
        in.readInt(),
        in.readBoolean());
  }

  void write(ByteBuf out) {
    out.writeLong(id);
    out.writeInt(call);
    out.writeInt(workMicros);
    out.writeInt(status);
    out.writeInt(inFlight);
    out.writeInt(queued);
    out.writeBoolean(leaving);
  }
}
