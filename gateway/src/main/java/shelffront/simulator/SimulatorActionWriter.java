package shelffront.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.Base64;
import shelffront.routing.RouterActions;

/**
 * Writes the actions of the hosted instances as rows of the line protocol: a JSON array per line.
 */
final class SimulatorActionWriter {

  private interface FieldWriter {
    void write(JsonGenerator out) throws IOException;
  }

  private final JsonGenerator out;

  SimulatorActionWriter(JsonFactory factory, OutputStream output) throws IOException {
    out = factory.createGenerator(output);
    out.setPrettyPrinter(new MinimalPrettyPrinter(""));
  }

  /** Ends a batch and flushes the output. All actions of the batch must have been written. */
  void endBatch() throws IOException {
    writeRow("ok", fields -> {});
    out.flush();
  }

  /** Reports an exception that an instance threw while it handled an event. */
  void writeFault(int proxy, RuntimeException fault) throws IOException {
    StackTraceElement[] trace = fault.getStackTrace();
    writeRow(
        "giveIn",
        fields -> {
          fields.writeNumber(proxy);
          fields.writeString(fault + (trace.length > 0 ? " at " + trace[0] : ""));
        });
  }

  /** Returns an action sink that writes rows for one instance. */
  RouterActions actionsOf(int proxy) {
    return new InstanceActions(proxy);
  }

  private void writeRow(String name, FieldWriter fields) throws IOException {
    out.writeStartArray();
    out.writeString(name);
    fields.write(out);
    out.writeEndArray();
    out.writeRaw('\n');
  }

  private final class InstanceActions implements RouterActions {

    private final int proxy;

    InstanceActions(int proxy) {
      this.proxy = proxy;
    }

    private void writeAction(String name, FieldWriter fields) {
      try {
        writeRow(
            name,
            generator -> {
              generator.writeNumber(proxy);
              fields.write(generator);
            });
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private void writeAction(String name, String text) {
      writeAction(name, fields -> fields.writeString(text));
    }

    @Override
    public void startAttempt(String requestId, String endpointId, long timeoutMicros) {
      writeAction(
          "place",
          fields -> {
            fields.writeString(requestId);
            fields.writeNumber(timeoutMicros);
            fields.writeString(endpointId);
          });
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
      writeAction(
          "abortAttempt",
          fields -> {
            fields.writeString(requestId);
            fields.writeNumber(attempt);
          });
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
      writeAction(
          "reject",
          fields -> {
            fields.writeString(requestId);
            fields.writeNumber(retryAfterMicros);
          });
    }

    @Override
    public void fail(String requestId) {
      writeAction("fail", requestId);
    }

    @Override
    public void checkHealth(String endpointId) {
      writeAction("soundOut", endpointId);
    }

    @Override
    public void setTimer(String name, long atMicros) {
      writeAction(
          "wakeMe",
          fields -> {
            fields.writeString(name);
            fields.writeNumber(atMicros);
          });
    }

    @Override
    public void watchEndpoints(boolean on) {
      writeAction("listen", fields -> fields.writeBoolean(on));
    }

    @Override
    public void fetchEndpoints() {
      writeAction("pull", fields -> {});
    }

    @Override
    public void sendToPeers(int peer, byte[] payload) {
      writeAction(
          "publish",
          fields -> {
            if (peer < 0) {
              fields.writeString("all");
            } else {
              fields.writeNumber(peer);
            }
            fields.writeString(Base64.getEncoder().encodeToString(payload));
          });
    }

    @Override
    public void closeIdleConnections(String endpointId) {
      writeAction("disconnect", endpointId);
    }

    @Override
    public void log(String text) {
      writeAction("journalLine", text);
    }
  }
}
