package shelffront.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import shelffront.lab.load.ArrivalSchedule;
import shelffront.lab.load.ClientBehavior;
import shelffront.lab.load.RequestKind;
import shelffront.tenant.TenantSpecCodec.SpecException;

/** Reads the settings of a load from an experiment file. */
final class LoadCodec {

  private LoadCodec() {}

  /**
   * Returns the kinds of requests of a load: one of the tenant's classes by its index ({@code
   * class}), or all classes with their shares in the tenant's order ({@code mix}).
   */
  static List<RequestKind> kinds(JsonNode load, JsonNode classes) {
    List<RequestKind> kinds = new ArrayList<>();
    for (int i = 0; i < classes.size(); i++) {
      double share =
          load.has("mix")
              ? load.path("mix").path(i).asDouble(0)
              : i == load.path("class").asInt(0) ? 1 : 0;
      JsonNode classNode = classes.path(i);
      if (share > 0) {
        kinds.add(
            new RequestKind(
                classNode.path("name").asText(),
                classNode.path("read").asText().equals("write"),
                classNode.path("aimMs").asInt(classNode.path("giveUpMs").asInt()),
                classNode.path("giveUpMs").asInt(),
                share,
                classNode.path("worth").asDouble(1)));
      }
    }
    return kinds;
  }

  static ClientBehavior behavior(JsonNode load, String pointer) throws SpecException {
    ClientBehavior plain = ClientBehavior.PLAIN;
    ArrivalSchedule.Pattern pattern;
    try {
      pattern = ArrivalSchedule.Pattern.of(load.path("arrivals").asText(plain.arrivals().name()));
    } catch (IllegalArgumentException e) {
      throw new SpecException(
          pointer + "/arrivals",
          "is " + load.path("arrivals") + ", expected one of even, poisson, waves, bursts");
    }
    return new ClientBehavior(
        pattern,
        load.path("sessions").asInt(plain.sessions()),
        load.path("skew").asDouble(1),
        load.path("readBack").asDouble(0),
        load.path("retries").asInt(0),
        load.path("roam").asDouble(0),
        load.path("hangUp").asDouble(0));
  }
}
