package org.wagtailpin.benchmark.experiment;

import io.netty.buffer.ByteBuf;

/**
 * Message between an entry and a stand-in server; requests and answers have the same fixed length.
 *
 * @param id number of the attempt on its connection, the same in the answer
 * @param call number of the call in its run
 * @param workMicros the requested work, in microseconds
 * @param status the HTTP status code of the answer, 0 in a request
 * @param inFlight number of occupied slots reported by the server, 0 in a request
 * @param queued queue length reported by the server, 0 in a request
 * @param leaving whether the server reports that it is leaving
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
