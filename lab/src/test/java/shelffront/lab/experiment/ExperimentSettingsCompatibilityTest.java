package shelffront.lab.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shelffront.cli.JsonnetTemplates;
import shelffront.lab.compatibility.StoredResource;
import shelffront.lab.load.ArrivalSchedule;
import shelffront.lab.load.ClientBehavior;
import shelffront.lab.load.RequestKind;
import shelffront.lab.model.ReplicaSetParameters;
import shelffront.lab.simulation.RandomDeployment;
import shelffront.lab.simulation.Scenario;
import shelffront.lab.simulation.Scenario.Fault;
import shelffront.lab.simulation.Scenario.FaultKind;
import shelffront.lab.simulation.Scenario.Means;
import shelffront.lab.virtual.VirtualNetwork.Weather;

/** Guards the settings of experiment files, which must read as in version 0.2.0. */
class ExperimentSettingsCompatibilityTest {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Kinds of the faults in the order of the file. */
  private static final List<FaultKind> KINDS =
      List.of(
          FaultKind.KILL_BOX,
          FaultKind.KILL_PRIMARY,
          FaultKind.DRAIN_BOX,
          FaultKind.DRAIN_PRIMARY,
          FaultKind.VANISH_BOX,
          FaultKind.SLOW_BOX,
          FaultKind.SPOIL_BOX,
          FaultKind.RESET_BOX,
          FaultKind.BAD_NETWORK,
          FaultKind.BREAK_WATCHES,
          FaultKind.DISCOVERY_DOWN,
          FaultKind.KILL_GATEWAY,
          FaultKind.STOP_GATEWAY,
          FaultKind.PAUSE_GATEWAY,
          FaultKind.STEP_CLOCK,
          FaultKind.BURST,
          FaultKind.HANG_UPS,
          FaultKind.STALL_READERS,
          FaultKind.RELOAD,
          FaultKind.GARBAGE,
          FaultKind.IDLE_CROWD,
          FaultKind.HICCUP_BOX,
          FaultKind.REMOVE_TENANT,
          FaultKind.CHANGE_TENANT,
          FaultKind.DRAIN_BY_TENANT);

  @TempDir private Path directory;

  private static Scenario read(JsonNode level) throws Exception {
    return VirtualExperiment.scenario(level, "/levels/0");
  }

  @Test
  void readsEverySettingOfLevel() throws Exception {
    JsonNode file =
        JsonnetTemplates.evaluate(StoredResource.copy("experiment-full.jsonnet", directory));
    ObjectNode level = file.path("base").deepCopy();
    level.setAll((ObjectNode) file.path("levels").path(0));
    List<Fault> faults = new ArrayList<>();
    for (FaultKind kind : KINDS) {
      int number = faults.size();
      faults.add(new Fault(number * 1_000_000L + 500_000, kind, number, (2 + number) * 1_000_000L));
    }
    assertEquals(
        new Scenario(
            0,
            5,
            2,
            4,
            321.5,
            9_000_000,
            new ReplicaSetParameters(
                6,
                33,
                177,
                5_000,
                10_000,
                0.75,
                1_000,
                15_000,
                350,
                0.21,
                18_000_000,
                1_250_000,
                750_000,
                2_000_000,
                ReplicaSetParameters.Check.REFUSE,
                50_000,
                4,
                2_000_000,
                true),
            new Weather(250, 650, 0.2),
            1_500_000,
            RandomDeployment.carrying(true),
            new Means(512, 45, 0.5, 3, 2, 140),
            faults),
        read(level));
  }

  @Test
  void readsLevelWithoutSettings() throws Exception {
    assertEquals(
        new Scenario(
            0,
            2,
            1,
            3,
            200,
            8_000_000,
            new ReplicaSetParameters(
                4,
                40,
                200,
                6_000,
                12_000,
                0.5,
                1_000,
                20_000,
                400,
                0.21,
                18_000_000,
                1_000_000,
                500_000,
                2_000_000,
                ReplicaSetParameters.Check.WAIT,
                50_000,
                4,
                2_000_000,
                false),
            new Weather(300, 700, 0.1),
            1_000_000,
            RandomDeployment.plain(false),
            new Means(1024, 0, 0, 0, 1, 150),
            List.of()),
        read(JSON.readTree("{}")));
  }

  @Test
  void readsEveryCheckValue() throws Exception {
    for (Map.Entry<String, ReplicaSetParameters.Check> word :
        Map.of(
                "silent",
                ReplicaSetParameters.Check.SILENT,
                "refuse",
                ReplicaSetParameters.Check.REFUSE,
                "wait",
                ReplicaSetParameters.Check.WAIT)
            .entrySet()) {
      JsonNode level = JSON.createObjectNode().put("check", word.getKey());
      assertEquals(word.getValue(), read(level).figures().check(), word.getKey());
    }
  }

  @Test
  void readsEverySettingOfLoad() throws Exception {
    JsonNode load =
        JSON.readTree(
            "{\"arrivals\":\"poisson\",\"sessions\":77,\"skew\":1.5,\"readBack\":0.25,"
                + "\"retries\":2,\"roam\":0.125,\"hangUp\":0.0625,\"mix\":[3,0,1]}");
    assertEquals(
        new ClientBehavior(ArrivalSchedule.Pattern.POISSON, 77, 1.5, 0.25, 2, 0.125, 0.0625),
        LoadCodec.behavior(load, "/load"));
    JsonNode classes =
        JSON.readTree(
            "[{\"name\":\"a\",\"read\":\"any\",\"aimMs\":400,\"giveUpMs\":900,\"worth\":2},"
                + "{\"name\":\"b\",\"read\":\"fresh\",\"giveUpMs\":800},"
                + "{\"name\":\"c\",\"read\":\"write\",\"giveUpMs\":700}]");
    assertEquals(
        List.of(
            new RequestKind("a", false, 400, 900, 3, 2),
            new RequestKind("c", true, 700, 700, 1, 1)),
        LoadCodec.kinds(load, classes));
    assertEquals(
        List.of(new RequestKind("b", false, 800, 800, 1, 1)),
        LoadCodec.kinds(JSON.readTree("{\"class\":1}"), classes));
  }

  @Test
  void readsEveryArrivalsValue() throws Exception {
    for (Map.Entry<String, ArrivalSchedule.Pattern> word :
        Map.of(
                "even",
                ArrivalSchedule.Pattern.EVEN,
                "poisson",
                ArrivalSchedule.Pattern.POISSON,
                "waves",
                ArrivalSchedule.Pattern.WAVES,
                "bursts",
                ArrivalSchedule.Pattern.BURSTS)
            .entrySet()) {
      JsonNode load = JSON.createObjectNode().put("arrivals", word.getKey());
      assertEquals(word.getValue(), LoadCodec.behavior(load, "/load").arrivals(), word.getKey());
    }
  }
}
