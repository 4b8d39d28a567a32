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

  static final Path EXCHANGES = Path.of("src/test/resources/plays");
  private static final Path EXAMPLE_CONFIG = Path.of("../docs/example-config.json");
  private static final int STEP_TIMEOUT_MS = 10_000;

  private final AtomicLong clock = new AtomicLong(1_800_000_000_000_000L);
  private final Map<String, ServerSocket> listeners = new HashMap<>();
  private final Map<String, String> definitions = new HashMap<>();
  private final Map<String, Socket> sockets = new HashMap<>();
  private final BlockingQueue<String> log = new ArrayBlockingQueue<>(10_000);
  private final Counters counters = new Counters();
  private final EventLoop loop = new EventLoop(clock::get, counters);
  private final Path file;
  private String exampleConfig;
  private Gateway gateway;
  private ConfigReload reload;

  /** Bytes of the memory budget. */
  private static final String DEFAULT_MEMORY = "1048576";

  private Thread loopThread;

  /** Requested holds that the event loop has not reached yet, in request order. */
  private final Set<CountDownLatch> pendingHolds = new LinkedHashSet<>();

  private final BlockingQueue<CountDownLatch> reachedHolds = new ArrayBlockingQueue<>(100);
  private CountDownLatch activeHold; // blocks the event loop; null while it runs
  private final ObservedChannels channels = new ObservedChannels();
  private long openedConnections; // connections to the gateway
  private long endedConnections; // ends of connections since the loop was blocked
  private long endsAtHold;
  private long bytesWritten;

  RecordedExchangeRunner() throws IOException {
    file = Files.createTempFile("play", ".json");
    exampleConfig = Files.readString(EXAMPLE_CONFIG);
  }

  void replay(Path file) throws Exception {
    replay(file.getFileName().toString(), Files.readAllLines(file));
  }

  /** Runs steps built by a test; the name appears in error messages. */
  void replay(String name, List<String> lines) throws Exception {
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

  ServerSocket listener(String name) {
    return listeners.get(name);
  }

  Socket socket(String name) {
    return sockets.get(name);
  }

  private void step(String[] words) throws Exception {
    String verb = words.length > 1 ? words[1] : "";
    String rest = words.length > 2 ? words[2] : "";
    switch (words[0]) {
      case "include" -> {
        definitions.put("@it", expand(rest));
        replay(EXCHANGES.resolveSibling(verb));
      }
      case "set" -> {
        assertTrue(EXAMPLE_CONFIG + " does not contain " + verb, exampleConfig.contains(verb));
        exampleConfig = exampleConfig.replace(verb, rest);
      }
      case "let" -> definitions.put("@" + verb, rest);
      case "listen" -> listen(verb, 0);
      case "again" -> listen(verb, listeners.get(verb).getLocalPort());
      case "unlisten" -> listeners.get(verb).close();
      case "gateway" -> start(expand(String.join(" ", verb, rest)));
      case "clock" -> {
        if (activeHold == null) {
          awaitAllInputRead();
        }
        clock.addAndGet(Long.parseLong(verb) * 1000);
        if (activeHold == null && pendingHolds.isEmpty()) {
          awaitLoopTurn();
        } else if (activeHold == null) {
          loop.post(() -> {}); // wakes the loop, which blocks before the end of its turn
        }
      }
      case "hold" -> hold(verb);
      case "held" -> awaitHold();
      case "arrived" -> awaitArrival();
      case "go" -> {
        activeHold.countDown();
        activeHold = null;
      }
      case "stall" -> channels.deferWriteResults();
      case "flow" -> channels.reportWrites();
      case "log" -> awaitLog(expand(String.join(" ", verb, rest).strip()));
      case "reload" -> reload(expand(String.join(" ", verb, rest)));
      case "stop" -> loop.post(gateway::drain);
      case "stopped" -> loopThread.join(STEP_TIMEOUT_MS);
      default -> socketStep(words[0], verb, rest);
    }
  }

  private void listen(String name, int port) throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
    listener.setSoTimeout(STEP_TIMEOUT_MS);
    listeners.put(name, listener);
  }

  private void socketStep(String name, String verb, String rest) throws Exception {
    switch (verb) {
      case "opens" -> {
        openedConnections++;
        register(
            name,
            new Socket(
                InetAddress.getLoopbackAddress(),
                ((InetSocketAddress) gateway.address()).getPort()));
      }
      case "from" -> register(name, listeners.get(rest).accept());
      case ">" -> {
        byte[] bytes = bytes(expand(rest));
        bytesWritten += bytes.length;
        sockets.get(name).getOutputStream().write(bytes);
      }
      case "<" -> {
        byte[] expected = bytes(expand(rest));
        byte[] actual = sockets.get(name).getInputStream().readNBytes(expected.length);
        assertEquals(readable(expected), readable(actual));
      }
      case "closes" -> {
        endedConnections++;
        sockets.get(name).close();
      }
      case "resets" -> {
        endedConnections++;
        sockets.get(name).setSoLinger(true, 0);
        sockets.get(name).close();
      }
      case "closed" -> assertEquals("", readable(readToEnd(sockets.get(name))));
      case "ends" ->
          assertEquals(
              "end of stream without a reset", -1, sockets.get(name).getInputStream().read());
      case "half" -> {
        endedConnections++;
        sockets.get(name).shutdownOutput();
      }
      default -> throw new IllegalArgumentException("unknown step \"" + name + " " + verb + "\"");
    }
  }

  private static byte[] readToEnd(Socket socket) throws IOException {
    try {
      return socket.getInputStream().readAllBytes();
    } catch (SocketException e) {
      return new byte[0]; // a reset counts as an end
    }
  }

  private void register(String name, Socket socket) throws SocketException {
    socket.setSoTimeout(STEP_TIMEOUT_MS);
    sockets.put(name, socket);
  }

  private void start(String members) throws Exception {
    String known = "{\"revision\":41,\"complete\":true,\"members\":[" + members + "]}";
    GatewayConfig config =
        new GatewayConfig(
            "n0",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            GatewayConfig.parseAddress(expand("$d")),
            7,
            Integer.parseInt(definitions.getOrDefault("@sockets", "1024")),
            100,
            RoutingSettingsCodec.read(
                (Map<?, ?>) JsonReader.parseObject(exampleConfig).get("settings")),
            EndpointList.read(JsonReader.parseObject(known)));
    EventLog lines = line -> log.add(line.toString());
    ResourceBudget memory =
        new ResourceBudget(Long.parseLong(definitions.getOrDefault("@memory", DEFAULT_MEMORY)));
    Network network = Network.open(loop, channels, memory, counters, lines);
    gateway = new Gateway(network, config);
    reload = new ConfigReload(network, gateway, Map.of("BALANCER_CONFIG", file.toString()));
    gateway.start();
    loopThread =
        new Thread(
            () -> {
              try {
                loop.run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    loopThread.start();
  }

  /**
   * Blocks the event loop. Without a delay it blocks at once, while it processes results, so that
   * whatever arrives stays in its queue. With a delay in milliseconds it blocks while it runs the
   * deadlines that are due after that time.
   */
  private void hold(String delay) throws Exception {
    CountDownLatch hold = new CountDownLatch(1);
    pendingHolds.add(hold);
    Runnable block =
        () -> {
          reachedHolds.add(hold);
          try {
            if (!hold.await(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
              throw new IllegalStateException(
                  "event loop was not released within " + STEP_TIMEOUT_MS + " ms");
            }
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        };
    if (delay.isEmpty()) {
      loop.post(block);
      awaitHold();
    } else {
      loop.post(() -> loop.scheduleAt(loop.nowMicros() + Long.parseLong(delay) * 1000, block));
      if (activeHold == null) {
        awaitLoopTurn();
      }
    }
  }

  private void awaitHold() throws InterruptedException {
    activeHold = reachedHolds.poll(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertTrue(
        "event loop did not reach a hold within " + STEP_TIMEOUT_MS + " ms", activeHold != null);
    pendingHolds.remove(activeHold);
    endsAtHold = channels.endCount.get();
    endedConnections = 0;
  }

  /**
   * Waits until everything that the exchange has done is in the event loop's queue: bytes written,
   * connections opened, and connections ended since the loop was blocked.
   */
  private void awaitArrival() {
    awaitCondition(
        "steps of the exchange did not arrive at the gateway within " + STEP_TIMEOUT_MS + " ms",
        () ->
            channels.bytesRead.get() >= bytesWritten
                && channels.acceptedCount.get() >= openedConnections
                && channels.endCount.get() >= endsAtHold + endedConnections);
  }

  private static void awaitCondition(String failure, BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STEP_TIMEOUT_MS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError(failure);
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
        file,
        text.matches("[0-9.:]+ *") ? exampleConfig.replace("127.0.0.1:8500", text.strip()) : text);
    reload.request();
  }

  /**
   * Waits until the gateway has read all bytes and completed all writes. If the clock advanced
   * earlier, the result would depend on a race: on whether bytes in transit are read before or
   * after the change, and on when a pending write completes, since the next command starts only
   * then.
   */
  private void awaitAllInputRead() throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STEP_TIMEOUT_MS);
    // Requires two idle observations in a row, since work may be in progress during the first.
    for (int quiet = 0; quiet < 2; ) {
      boolean busy =
          awaitLoopTurn() < bytesWritten
              || channels.pendingWrites.get() > 0
              || loop.queuedTaskCount() > 0;
      quiet = busy ? 0 : quiet + 1;
      if (System.nanoTime() > end) {
        throw new AssertionError(
            "gateway did not read all "
                + bytesWritten
                + " bytes within "
                + STEP_TIMEOUT_MS
                + " ms");
      }
    }
  }

  /** Waits for one turn of the event loop; returns the bytes that the gateway has read by then. */
  private long awaitLoopTurn() throws Exception {
    CompletableFuture<Long> read = new CompletableFuture<>();
    loop.post(() -> read.complete(counters.get(Counters.Name.BYTES_IN)));
    return read.get(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void awaitLog(String wanted) throws InterruptedException {
    StringBuilder others = new StringBuilder();
    String line = log.poll(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    while (line != null && !line.contains(wanted)) {
      others.append('\n').append(line);
      line = log.poll(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
    if (line == null) {
      throw new AssertionError("no log line contains \"" + wanted + "\"; lines read:" + others);
    }
  }

  /** Replaces defined words by their values and {@code $NAME} by the address of a listener. */
  private String expand(String text) {
    for (Map.Entry<String, String> word : definitions.entrySet()) {
      text = text.replace(word.getKey(), word.getValue());
    }
    for (Map.Entry<String, ServerSocket> listener : listeners.entrySet()) {
      text =
          text.replace("$" + listener.getKey(), "127.0.0.1:" + listener.getValue().getLocalPort());
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
      if (loopThread != null) {
        loopThread.join(STEP_TIMEOUT_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (Socket socket : sockets.values()) {
      socket.close();
    }
    for (ServerSocket listener : listeners.values()) {
      listener.close();
    }
    if (gateway != null) {
      gateway.close();
    }
    Files.deleteIfExists(file);
  }
}
