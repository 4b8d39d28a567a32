package shelffront.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;
import shelffront.lab.simulation.FleetSimulation;
import shelffront.tenant.TenantSpecCodec;

/** What is kept of a run: a line of JSON with all that tables and charts are made of. */
record RecordedRun(
    String level,
    int seed,
    long requests,
    double servedValueFraction,
    int violationCount,
    String hash,
    JsonNode classes,
    double[] requestedValue,
    double[] servedValue,
    Histogram latencyMicros) {

  static RecordedRun of(String level, int seed, FleetSimulation.Result r) {
    return new RecordedRun(
        level,
        seed,
        r.requests(),
        r.servedValueFraction(),
        r.violationCount(),
        r.hash(),
        TenantSpecCodec.JSON.valueToTree(r.byClass()),
        r.requestedValue(),
        r.servedValue(),
        r.latencyMicros());
  }

  String line() {
    ObjectNode line =
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("level", level)
            .put("seed", seed)
            .put("requests", requests)
            .put("worthKept", servedValueFraction)
            .put("broken", violationCount)
            .put("hash", hash);
    line.set("classes", classes);
    line.set("wanted", TenantSpecCodec.JSON.valueToTree(requestedValue));
    line.set("kept", TenantSpecCodec.JSON.valueToTree(servedValue));
    ByteBuffer bytes = ByteBuffer.allocate(latencyMicros.getNeededByteBufferCapacity());
    int count = latencyMicros.encodeIntoCompressedByteBuffer(bytes);
    byte[] encoded = new byte[count];
    bytes.flip().get(encoded);
    return line.put("latency", Base64.getEncoder().encodeToString(encoded)).toString();
  }

  /**
   * Reads a line; null where it is cut or none, as the last one of a run that was stopped may be.
   */
  static RecordedRun read(String line) {
    try {
      JsonNode j = TenantSpecCodec.JSON.readTree(line);
      Histogram latency =
          Histogram.decodeFromCompressedByteBuffer(
              ByteBuffer.wrap(Base64.getDecoder().decode(j.path("latency").asText())), 60_000_000L);
      return new RecordedRun(
          j.path("level").asText(),
          j.path("seed").asInt(),
          j.path("requests").asLong(),
          j.path("worthKept").asDouble(),
          j.path("broken").asInt(),
          j.path("hash").asText(),
          j.path("classes"),
          TenantSpecCodec.JSON.treeToValue(j.path("wanted"), double[].class),
          TenantSpecCodec.JSON.treeToValue(j.path("kept"), double[].class),
          latency);
    } catch (IOException | DataFormatException | RuntimeException e) {
      return null;
    }
  }
}
