package shelffront.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import shelffront.config.EndpointList;
import shelffront.config.GatewayConfig;
import shelffront.config.JsonReader;
import shelffront.config.RoutingSettingsCodec;
import shelffront.net.Counters;
import shelffront.net.EventLog;
import shelffront.net.EventLoop;
import shelffront.net.Network;
import shelffront.net.ResourceBudget;

/**
 * Runs the steps of a recorded exchange against a gateway in this process, on sockets with
 * ephemeral ports. The exchange controls the gateway's clock; real time only limits how long a step
 * waits.
 */
final class RecordedExchangeRunner implements AutoCloseable {

  static final Path PLAYS = Path.of("src/test/resources/plays");
  private static final Path EXAMPLE = Path.of("../docs/example-config.json");
  private static final int MISSING_MS = 10_000;

  private final AtomicLong clock = new AtomicLong(1_800_000_000_000_000L);
  private final Map<String, ServerSocket> parties = new HashMap<>();
  private final Map<String, String> given = new HashMap<>();
  private final Map<String, Socket> sockets = new HashMap<>();
  private final BlockingQueue<String> log = new ArrayBlockingQueue<>(10_000);
  private final Counters counters = new Counters();
  private final EventLoop loop = new EventLoop(clock::get, counters);
  private final Path file;
  private String example;
  private Gateway gateway;
  private ConfigReload reload;
  private Thread turns;

  /** Requested holds that the event loop has not reached yet, in request order. */
  private final Set<CountDownLatch> holds = new LinkedHashSet<>();

  private final BlockingQueue<CountDownLatch> reached = new ArrayBlockingQueue<>(100);
  private CountDownLatch held; // blocks the event loop; null while it runs
  private final ObservedChannels channels = new ObservedChannels();
  private long opened; // connections to the gateway
  private long ended; // ends of connections since the loop was held
  private long endsBefore;
  private long written;

  RecordedExchangeRunner() throws IOException {
    file = Files.createTempFile("play", ".json");
    example = Files.readString(EXAMPLE);
  }

  void play(Path file) throws Exception {
    play(file.getFileName().toString(), Files.readAllLines(file));
  }

  /** Runs steps built by a test; the name appears in error messages. */
  void play(String name, List<String> lines) throws Exception {
    int number = 0;
    for (String line : lines) {
      number++;
      if (!line.isBlank() && !line.startsWith("#")) {
        try {
          step(line.strip().split(" +", 3));
        } catch (AssertionError | Exception e) {
          throw new AssertionError(
              name + ":" + number + ": " + line + ": " + e + "; log: " + log, e);
        }
      }
    }
  }

  ServerSocket party(String name) {
    return parties.get(name);
  }

  Socket socket(String name) {
    return sockets.get(name);
  }

  private void step(String[] words) throws Exception {
    String verb = words.length > 1 ? words[1] : "";
    String rest = words.length > 2 ? words[2] : "";
    switch (words[0]) {
      case "include" -> {
        given.put("@it", named(rest));
        play(PLAYS.resolveSibling(verb));
      }
      case "set" -> {
        assertTrue(EXAMPLE + " does not contain " + verb, example.contains(verb));
        example = example.replace(verb, rest);
      }
      case "let" -> given.put("@" + verb, rest);
      case "listen" -> listen(verb, 0);
      case "again" -> listen(verb, parties.get(verb).getLocalPort());
      case "unlisten" -> parties.get(verb).close();
      case "gateway" -> start(named(String.join(" ", verb, rest)));
      case "clock" -> {
        if (held == null) {
          untilAllIsRead();
        }
        clock.addAndGet(Long.parseLong(verb) * 1000);
        if (held == null && holds.isEmpty()) {
          untilTurned();
        } else if (held == null) {
          loop.post(() -> {}); // wakes the loop, which blocks before the end of its turn
        }
      }
      case "hold" -> hold(verb);
      case "held" -> untilHeld();
      case "arrived" -> untilArrived();
      case "go" -> {
        held.countDown();
        held = null;
      }
      case "log" -> awaitLog(named(String.join(" ", verb, rest).strip()));
      case "reload" -> reload(named(String.join(" ", verb, rest)));
      case "stop" -> loop.post(gateway::drain);
      case "stopped" -> turns.join(MISSING_MS);
      default -> socketStep(words[0], verb, rest);
    }
  }

  private void listen(String name, int port) throws IOException {
    ServerSocket party = new ServerSocket();
    party.setReuseAddress(true);
    party.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
    party.setSoTimeout(MISSING_MS);
    parties.put(name, party);
  }

  private void socketStep(String name, String verb, String rest) throws Exception {
    switch (verb) {
      case "opens" -> {
        opened++;
        keep(
            name,
            new Socket(
                InetAddress.getLoopbackAddress(),
                ((InetSocketAddress) gateway.address()).getPort()));
      }
      case "from" -> keep(name, parties.get(rest).accept());
      case ">" -> {
        byte[] bytes = bytes(named(rest));
        written += bytes.length;
        sockets.get(name).getOutputStream().write(bytes);
      }
      case "<" -> {
        byte[] expected = bytes(named(rest));
        byte[] got = sockets.get(name).getInputStream().readNBytes(expected.length);
        assertEquals(readable(expected), readable(got));
      }
      case "closes" -> {
        ended++;
        sockets.get(name).close();
      }
      case "resets" -> {
        ended++;
        sockets.get(name).setSoLinger(true, 0);
        sockets.get(name).close();
      }
      case "closed" -> assertEquals("", readable(rest(sockets.get(name))));
      case "ends" ->
          assertEquals(
              "end of stream without a reset", -1, sockets.get(name).getInputStream().read());
      case "half" -> {
        ended++;
        sockets.get(name).shutdownOutput();
      }
      default -> throw new IllegalArgumentException("unknown step \"" + name + " " + verb + "\"");
    }
  }

  private static byte[] rest(Socket socket) throws IOException {
    try {
      return socket.getInputStream().readAllBytes();
    } catch (SocketException e) {
      return new byte[0]; // a reset counts as an end
    }
  }

  private void keep(String name, Socket socket) throws SocketException {
    socket.setSoTimeout(MISSING_MS);
    sockets.put(name, socket);
  }

  private void start(String members) throws Exception {
    String known = "{\"revision\":41,\"complete\":true,\"members\":[" + members + "]}";
    GatewayConfig config =
        new GatewayConfig(
            "n0",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            GatewayConfig.parseAddress(named("$d")),
            7,
            Integer.parseInt(given.getOrDefault("@sockets", "1024")),
            100,
            RoutingSettingsCodec.read((Map<?, ?>) JsonReader.parseObject(example).get("settings")),
            EndpointList.read(JsonReader.parseObject(known)));
    EventLog lines = line -> log.add(line.toString());
    Network network = Network.open(loop, channels, new ResourceBudget(1 << 20), counters, lines);
    gateway = new Gateway(network, config);
    reload = new ConfigReload(network, gateway, Map.of("BALANCER_CONFIG", file.toString()));
    gateway.start();
    turns =
        new Thread(
            () -> {
              try {
                loop.run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    turns.start();
  }

  /**
   * Blocks the event loop. Without a delay it blocks at once, while it processes results, so that
   * whatever arrives stays in its queue. With a delay in milliseconds it blocks while it runs the
   * deadlines that are due after that time.
   */
  private void hold(String delay) throws Exception {
    CountDownLatch hold = new CountDownLatch(1);
    holds.add(hold);
    Runnable block =
        () -> {
          reached.add(hold);
          try {
            if (!hold.await(MISSING_MS, TimeUnit.MILLISECONDS)) {
              throw new IllegalStateException(
                  "event loop was not released within " + MISSING_MS + " ms");
            }
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        };
    if (delay.isEmpty()) {
      loop.post(block);
      untilHeld();
    } else {
      loop.post(() -> loop.scheduleAt(loop.nowMicros() + Long.parseLong(delay) * 1000, block));
      if (held == null) {
        untilTurned();
      }
    }
  }

  private void untilHeld() throws InterruptedException {
    held = reached.poll(MISSING_MS, TimeUnit.MILLISECONDS);
    assertTrue("event loop did not reach a hold within " + MISSING_MS + " ms", held != null);
    holds.remove(held);
    endsBefore = channels.endCount.get();
    ended = 0;
  }

  /**
   * Waits until everything that the exchange has done is in the event loop's queue: bytes written,
   * connections opened, and connections ended since the loop was blocked.
   */
  private void untilArrived() {
    until(
        "steps of the exchange did not arrive at the gateway within " + MISSING_MS + " ms",
        () ->
            channels.bytesRead.get() >= written
                && channels.acceptedCount.get() >= opened
                && channels.endCount.get() >= endsBefore + ended);
  }

  private static void until(String complaint, BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MISSING_MS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError(complaint);
      }
      Thread.onSpinWait();
    }
  }

  /**
   * Writes the configuration file and requests a reload. A text that is only an address stands for
   * the example configuration with that address of discovery.
   */
  private void reload(String text) throws IOException {
    Files.writeString(
        file, text.matches("[0-9.:]+ *") ? example.replace("127.0.0.1:8500", text.strip()) : text);
    reload.request();
  }

  /**
   * Waits until the gateway has read all bytes and completed all writes. If the clock advanced
   * earlier, the result would depend on a race: on whether bytes in transit are read before or
   * after the change, and on when a pending write completes, since the next command starts only
   * then.
   */
  private void untilAllIsRead() throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MISSING_MS);
    // Requires two idle observations in a row, since work may be in progress during the first.
    for (int quiet = 0; quiet < 2; ) {
      boolean busy =
          untilTurned() < written || channels.pendingWrites.get() > 0 || loop.queuedTaskCount() > 0;
      quiet = busy ? 0 : quiet + 1;
      if (System.nanoTime() > end) {
        throw new AssertionError(
            "gateway did not read all " + written + " bytes within " + MISSING_MS + " ms");
      }
    }
  }

  /** Waits for one turn of the event loop; returns the bytes that the gateway has read by then. */
  private long untilTurned() throws Exception {
    CompletableFuture<Long> read = new CompletableFuture<>();
    loop.post(() -> read.complete(counters.get(Counters.Name.BYTES_IN)));
    return read.get(MISSING_MS, TimeUnit.MILLISECONDS);
  }

  private void awaitLog(String wanted) throws InterruptedException {
    StringBuilder others = new StringBuilder();
    String line = log.poll(MISSING_MS, TimeUnit.MILLISECONDS);
    while (line != null && !line.contains(wanted)) {
      others.append('\n').append(line);
      line = log.poll(MISSING_MS, TimeUnit.MILLISECONDS);
    }
    if (line == null) {
      throw new AssertionError("no log line contains \"" + wanted + "\"; lines read:" + others);
    }
  }

  /** Replaces defined words by their values and {@code $NAME} by the address of a listener. */
  private String named(String text) {
    for (Map.Entry<String, String> word : given.entrySet()) {
      text = text.replace(word.getKey(), word.getValue());
    }
    for (Map.Entry<String, ServerSocket> party : parties.entrySet()) {
      text = text.replace("$" + party.getKey(), "127.0.0.1:" + party.getValue().getLocalPort());
    }
    return text;
  }

  /** Parses the byte notation of recorded exchanges; see plays/README.md. */
  static byte[] bytes(String notation) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new Object() {
      private int at;

      void until(char end, ByteArrayOutputStream into) {
        while (at < notation.length() && notation.charAt(at) != end) {
          char c = notation.charAt(at++);
          if (c == '"') {
            int close = notation.indexOf('"', at);
            into.writeBytes(
                notation
                    .substring(at, close)
                    .replace("\\n", "\n")
                    .replace("\\r", "\r")
                    .replace('`', '"')
                    .getBytes(ISO_8859_1));
            at = close + 1;
          } else if ("{([".indexOf(c) >= 0) {
            ByteArrayOutputStream inner = new ByteArrayOutputStream();
            until("})]".charAt("{([".indexOf(c)), inner);
            at++;
            into.writeBytes(
                c == '['
                    ? (Integer.toHexString(inner.size()) + "\r\n").getBytes(ISO_8859_1)
                    : number(inner.size() + (c == '{' ? 4 : 0)));
            into.writeBytes(inner.toByteArray());
            into.writeBytes(c == '[' ? new byte[] {'\r', '\n'} : new byte[0]);
          } else if (c == '*') {
            int space = (notation + " ").indexOf(' ', at);
            into.writeBytes(new byte[Integer.parseInt(notation.substring(at, space))]);
            at = space;
          } else if (c != ' ') {
            into.write(Integer.parseInt(notation.substring(at - 1, ++at), 16));
          }
        }
      }
    }.until('\0', out);
    return out.toByteArray();
  }

  private static byte[] number(int value) {
    return new byte[] {
      (byte) (value >> 24), (byte) (value >> 16), (byte) (value >> 8), (byte) value
    };
  }

  private static String readable(byte[] bytes) {
    StringBuilder text = new StringBuilder();
    for (byte b : bytes) {
      text.append(b >= ' ' && b <= '~' ? String.valueOf((char) b) : String.format("\\%02x", b));
    }
    return text.toString();
  }

  @Override
  public void close() throws IOException {
    loop.post(loop::stop);
    try {
      if (turns != null) {
        turns.join(MISSING_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (Socket socket : sockets.values()) {
      socket.close();
    }
    for (ServerSocket party : parties.values()) {
      party.close();
    }
    if (gateway != null) {
      gateway.close();
    }
    Files.deleteIfExists(file);
  }
}
