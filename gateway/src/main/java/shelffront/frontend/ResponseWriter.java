package shelffront.frontend;

import java.nio.ByteBuffer;
import shelffront.net.Counters;
import shelffront.pg.Message;
import shelffront.request.ClientRequest;

/** Sends the final response of a connection's request to its client, and counts it by kind. */
final class ResponseWriter implements ClientRequest.ResponseListener {

  private final ClientConnection connection;
  private final CommandReader commands;

  ResponseWriter(ClientConnection connection, CommandReader commands) {
    this.connection = connection;
    this.commands = commands;
  }

  @Override
  public boolean mayStartAttempt() {
    return !connection.isReadBehind(); // otherwise the client may have left unnoticed
  }

  @Override
  public void onServed(byte[] messages) {
    if (!commands.tryReserveResponse(messages.length)) {
      onFailed(); // The memory budget has no room for the value until the client reads it.
      return;
    }
    connection.finishRequest(Counters.Name.ANSWERS_SERVED, messages);
  }

  @Override
  public void onRejected(long retryAfterMicros) {
    connection.finishRequest(
        Counters.Name.ANSWERS_REFUSED, ClientErrors.rejected(retryAfterMicros));
  }

  @Override
  public void onUnavailable() {
    connection.finishRequest(Counters.Name.ANSWERS_REFUSED, ClientErrors.unavailable());
  }

  @Override
  public void onFailed() {
    connection.finishRequest(Counters.Name.ANSWERS_FAILED, ClientErrors.failed());
  }

  /** Rejects consecutive commands for which there was no memory. */
  void rejectForMemory(long count, long retryAfterMicros) {
    Counters counters = connection.network().counters();
    counters.add(Counters.Name.REQUESTS_TAKEN, count);
    counters.add(Counters.Name.ANSWERS_REFUSED, count);
    counters.add(Counters.Name.REFUSED_BY_MEMORY, count);
    byte[] error = ClientErrors.rejected(retryAfterMicros);
    byte[] ready = Message.readyForQuery();
    ByteBuffer responses = ByteBuffer.allocate((int) count * (error.length + ready.length));
    while (responses.hasRemaining()) {
      responses.put(error).put(ready);
    }
    connection.send(responses.array());
  }
}
