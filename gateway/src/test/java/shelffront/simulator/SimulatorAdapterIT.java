package shelffront.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Runs the packaged jar on a short, handwritten exchange of the line protocol. */
class SimulatorAdapterIT {

  private static final String FACTS =
      """
      {"balancers":2,"unheardOf":{"a":[1,null]},"selfIndex":0,"zone":"z","zones":["z"],\
      "period":5000,\
      "categories":[{"name":"look","aim":500000,"hardLimit":1500000,"points":1.0,"lateShare":0.0,\
      "effect":"repeatable","group":"all","dedupWindow":0,"stream":false},\
      {"name":"book","aim":500000,"hardLimit":3000000,"points":3.0,"lateShare":0.5,\
      "effect":"once","group":"all","dedupWindow":0,"stream":false}],\
      "familyInfo":{"answersStamped":true,"checks":"silent","classRead":["session","write"],\
      "oldestData":[0,0],"patience":0,"roleInList":"late","sessionMarks":"carried","zero":1000},\
      "guarantees":{"answerSlack":20000,"askWithin":10000000,"cold":18000000,"coldFrom":0.29,\
      "drainGrace":500000,"fall":1500000,"fallMultiple":2.5},\
      "limits":{"maxAttempts":4,"maxRetryAfter":1000000,"mayCancel":true,"mayDuplicate":true,\
      "mayProbe":true,"mayTell":false,"retryAfter":true},\
      "loadInfo":{"fields":["x0","x1"],"source":"piggyback"},"membershipMode":"push",\
      "tariffs":{"crossZone":0.0}}\
      """;
  private static final String START =
      """
      ["clock",2000000000]
      ["up",0,7,FACTS]
      ["catalog",3,[["std","z","member_a",1,0,5,1,"live"],["std","z","member_b",1,null,5,0,"live"]]]
      ["discovery",0,"remembered",1,3]
      ["eofBatch"]
      """
          .replace("FACTS", FACTS);

  private record Result(int code, List<String> out, List<String> err) {}

  private static Result run(String input, String... arguments)
      throws IOException, InterruptedException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    List<String> command =
        Stream.concat(Stream.of(java, "-jar", "target/shelffront.jar"), Stream.of(arguments))
            .toList();
    Process process = new ProcessBuilder(command).start();
    try (OutputStream stdin = process.getOutputStream()) {
      stdin.write(input.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      // The process exits without reading its input if the arguments are invalid.
    }
    String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(process.waitFor(30, TimeUnit.SECONDS));
    return new Result(process.exitValue(), out.lines().toList(), err.lines().toList());
  }

  @Test
  void eachBatchEndsWithOneOkRow() throws Exception {
    Result round =
        run(
            """
            ["clock",1999990000]
            ["eofBatch"]
            """
                + START
                + """
                ["clock",2000005000]
                ["sampled",0,"member_b","ok",900,{"x0":1999.99,"x1":0}]
                ["query",0,"00000000000000aa","look",null,"91f03b7c55d20a64",1500000,null,5,400.5,1]
                ["query",0,"00000000000000bb","book",null,"91f03b7c55d20a64",3000000,null,5,0,4]
                ["eofBatch"]
                ["clock",2000105000]
                ["reply",0,"00000000000000aa","ok",true,0,99000,7999980006,"member_b",\
                {"x0":1999.995}]
                ["reply",0,"00000000000000bb","reset",false,0,99000,null,"member_a",null]
                ["gone",0,"00000000000000aa"]
                ["eofBatch"]
                """,
            "benchlink");
    assertEquals(List.of(), round.err);
    assertEquals(0, round.code);
    assertEquals(4, round.out.stream().filter(line -> line.equals("[\"ok\"]")).count());
    assertTrue(
        round.out.contains("[\"place\",0,\"00000000000000aa\",0,\"member_b\"]"),
        round.out.toString());
    assertTrue(round.out.contains("[\"place\",0,\"00000000000000bb\",0,\"member_a\"]"));
    assertTrue(round.out.contains("[\"soundOut\",0,\"member_a\"]"));
    assertTrue(
        round.out.contains("[\"fail\",0,\"00000000000000bb\"]"),
        "a write whose connection was reset must fail, because it must not be executed twice");
  }

  @Test
  void malformedInputIsReportedOnceWithItsLineAndExitCodeOne() throws Exception {
    for (String bad :
        List.of(
            "[\"query\",0]",
            "{\"a\":1}",
            "[\"clock\"",
            "[\"nothing\",0]",
            "[\"clock\",\"x\"]",
            "[\"discovery\",0,\"all\",2,9]",
            "[\"reply\",0,\"aa\",\"odd\",true,0,1,0,\"m\",null]")) {
      Result round = run(START + "[\"clock\",2000005000]\n" + bad + "\n", "benchlink");
      assertEquals(1, round.code, bad);
      assertEquals(1, round.err.size(), bad);
      assertTrue(round.err.get(0).matches("shelffront: line [78]: .+"), round.err.get(0));
    }
  }

  @Test
  void invalidArgumentsPrintUsageAndExitWithCodeTwo() throws Exception {
    Map<List<String>, String> expected =
        Map.of(
            List.of(),
            "Usage: shelffront",
            List.of("adapter"),
            "Unmatched argument at index 0: 'adapter'",
            List.of("benchlink", "x"),
            "Unmatched argument at index 1: 'x'");
    for (Map.Entry<List<String>, String> each : expected.entrySet()) {
      Result round = run("", each.getKey().toArray(new String[0]));
      assertEquals(2, round.code);
      assertTrue(round.err.get(0).startsWith(each.getValue()), round.err.toString());
    }
  }
}
