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

/** The stored result of a run: one line of JSON with all data of the tables and charts. */
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

  static RecordedRun of(String level, int seed, FleetSimulation.Result result) {
    return new RecordedRun(
        level,
        seed,
        result.requests(),
        result.servedValueFraction(),
        result.violationCount(),
        result.hash(),
        TenantSpecCodec.JSON.valueToTree(result.byClass()),
        result.requestedValue(),
        result.servedValue(),
        result.latencyMicros());
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
   * Parses a line. Returns null if it is truncated or malformed, as the last line of an interrupted
   * experiment may be.
   */
  static RecordedRun read(String line) {
    try {
      JsonNode json = TenantSpecCodec.JSON.readTree(line);
      Histogram latency =
          Histogram.decodeFromCompressedByteBuffer(
              ByteBuffer.wrap(Base64.getDecoder().decode(json.path("latency").asText())),
              60_000_000L);
      return new RecordedRun(
          json.path("level").asText(),
          json.path("seed").asInt(),
          json.path("requests").asLong(),
          json.path("worthKept").asDouble(),
          json.path("broken").asInt(),
          json.path("hash").asText(),
          json.path("classes"),
          TenantSpecCodec.JSON.treeToValue(json.path("wanted"), double[].class),
          TenantSpecCodec.JSON.treeToValue(json.path("kept"), double[].class),
          latency);
    } catch (IOException | DataFormatException | RuntimeException e) {
      return null;
    }
  }
}
