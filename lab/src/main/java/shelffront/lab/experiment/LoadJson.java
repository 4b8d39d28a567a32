package shelffront.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import shelffront.lab.load.Arrivals;
import shelffront.lab.load.Load;
import shelffront.tenant.SpecJson.SpecException;

/** Loads as experiment files say them. */
final class LoadJson {

  private LoadJson() {}

  /**
   * One class by its number ({@code class}), or all by their parts ({@code mix}, in the order of
   * the tenant's classes).
   */
  static List<Load.Kind> kinds(JsonNode load, JsonNode classes) {
    List<Load.Kind> kinds = new ArrayList<>();
    for (int i = 0; i < classes.size(); i++) {
      double share =
          load.has("mix")
              ? load.path("mix").path(i).asDouble(0)
              : i == load.path("class").asInt(0) ? 1 : 0;
      JsonNode c = classes.path(i);
      if (share > 0) {
        kinds.add(
            new Load.Kind(
                c.path("name").asText(),
                c.path("read").asText().equals("write"),
                c.path("aimMs").asInt(c.path("giveUpMs").asInt()),
                c.path("giveUpMs").asInt(),
                share,
                c.path("worth").asDouble(1)));
      }
    }
    return kinds;
  }

  static Load.Habits habits(JsonNode load, String at) throws SpecException {
    Load.Habits plain = Load.Habits.PLAIN;
    Arrivals.Pattern pattern;
    try {
      pattern = Arrivals.Pattern.of(load.path("arrivals").asText(plain.arrivals().name()));
    } catch (IllegalArgumentException e) {
      throw new SpecException(at + "/arrivals", "is none of even, poisson, waves, bursts");
    }
    return new Load.Habits(
        pattern,
        load.path("sessions").asInt(plain.sessions()),
        load.path("skew").asDouble(1),
        load.path("readBack").asDouble(0),
        load.path("retries").asInt(0),
        load.path("roam").asDouble(0),
        load.path("hangUp").asDouble(0));
  }
}
