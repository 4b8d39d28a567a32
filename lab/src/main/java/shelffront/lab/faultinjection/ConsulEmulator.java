package shelffront.lab.faultinjection;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.Writer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Emulates a Consul agent: the part of its published HTTP API that gateways use, which is {@code
 * /v1/kv} with check-and-set and blocking queries, and {@code /v1/txn}. Every acknowledged write is
 * in the state file and survives a restart. A PUT to {@code /fault} makes the emulator report a
 * missing leader, delay its responses, corrupt them, discard all entries, or save a snapshot of the
 * state file and restore it later.
 */
@Command(
    name = "consul-stand-in",
    mixinStandardHelpOptions = true,
    description =
        "Emulates the key-value store of a Consul agent on loopback until the process is"
            + " terminated.")
public final class ConsulEmulator implements Callable<Integer> {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long MAX_WAIT_MS = 600_000;

  private record Entry(byte[] value, long created, long modified) {}

  @Option(
      names = "--port",
      defaultValue = "0",
      description = "0 selects a free port (${DEFAULT-VALUE})")
  private int port;

  @Option(names = "--file", required = true, description = "state file, which holds all writes")
  private Path file;

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<String, Long> removed = new HashMap<>(); // key to index of its removal
  private long index = 1;
  private Writer out;
  private boolean leaderless;
  private long delayMillis;
  private boolean corruptsResponses;
  private final AtomicLong callCount = new AtomicLong();
  private final AtomicLong byteCount = new AtomicLong();

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (Files.exists(file)) {
      load();
    }
    out = Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    System.setProperty(
        "sun.net.httpserver.nodelay", "true"); // without it, each response waits 40 ms for an ACK
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/v1/kv/", this::handleKv);
    server.createContext("/v1/txn", this::handleTransaction);
    server.createContext("/fault", this::handleFault);
    server.createContext("/calls", this::handleCalls);
    server.start();
    System.out.println("listens on 127.0.0.1:" + server.getAddress().getPort());
    Thread.currentThread().join();
    return 0;
  }

  private void load() throws IOException {
    for (String line : Files.readAllLines(file)) {
      JsonNode entry = JSON.readTree(line);
      index = entry.path("index").asLong();
      apply(
          entry.path("key").asText(),
          entry.has("value") ? Base64.getDecoder().decode(entry.path("value").asText()) : null,
          index);
    }
  }

  private Path snapshotFile() {
    return file.resolveSibling(file.getFileName() + ".kept");
  }

  /** Reports the calls received so far and the body bytes of requests and responses. */
  private void handleCalls(HttpExchange exchange) throws IOException {
    String text =
        JSON.createObjectNode()
            .put("calls", callCount.get())
            .put("bytes", byteCount.get())
            .toString();
    respond(exchange, 200, text, 0);
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int equals = part.indexOf('=');
      query.put(
          equals < 0 ? part : part.substring(0, equals),
          equals < 0 ? "" : URLDecoder.decode(part.substring(equals + 1), UTF_8));
    }
    return query;
  }

  private void handleFault(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    synchronized (this) {
      leaderless = query.getOrDefault("leader", "yes").equals("no");
      delayMillis = Long.parseLong(query.getOrDefault("late", "0"));
      corruptsResponses = query.containsKey("garble");
      if (query.containsKey("keep")) {
        Files.copy(file, snapshotFile(), StandardCopyOption.REPLACE_EXISTING);
      }
      if (query.containsKey("restore")) {
        entries.clear();
        removed.clear();
        Files.copy(snapshotFile(), file, StandardCopyOption.REPLACE_EXISTING);
        load();
      }
      if (query.containsKey("forget")) {
        entries.clear();
        removed.clear();
        index = 1;
        Files.writeString(file, "");
      }
      notifyAll();
    }
    respond(exchange, 200, "true", 0);
  }

  private void handleKv(HttpExchange exchange) throws IOException {
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      count(body.length);
      long delay;
      synchronized (this) {
        delay = delayMillis;
        if (leaderless) {
          respond(exchange, 500, "No cluster leader", 0);
          return;
        }
      }
      if (delay > 0) {
        Thread.sleep(delay);
      }
      String key = exchange.getRequestURI().getPath().substring("/v1/kv/".length());
      Map<String, String> query = query(exchange);
      switch (exchange.getRequestMethod()) {
        case "GET" -> get(exchange, key, query);
        case "PUT" -> respond(exchange, 200, String.valueOf(write(key, query.get("cas"), body)), 0);
        case "DELETE" ->
            respond(exchange, 200, String.valueOf(write(key, query.get("cas"), null)), 0);
        default -> respond(exchange, 405, "", 0);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private void count(int bytes) {
    callCount.incrementAndGet();
    byteCount.addAndGet(bytes);
  }

  private synchronized boolean write(String key, String cas, byte[] value) throws IOException {
    if (!mayWrite(key, cas)) {
      return false;
    }
    index++;
    put(key, value);
    out.flush();
    notifyAll();
    return true;
  }

  private boolean mayWrite(String key, String cas) {
    Entry current = entries.get(key);
    return cas == null || Long.parseLong(cas) == (current == null ? 0 : current.modified());
  }

  /** Writes under the current index, because all writes of a transaction share one index. */
  private void put(String key, byte[] value) throws IOException {
    ObjectNode line = JSON.createObjectNode().put("index", index).put("key", key);
    if (value != null) {
      line.put("value", Base64.getEncoder().encodeToString(value));
    }
    out.write(line + "\n");
    apply(key, value, index);
  }

  /** Applies all operations or none, as the API specifies. Supports the verbs that gateways use. */
  private void handleTransaction(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    count(body.length);
    ObjectNode response = JSON.createObjectNode();
    ArrayNode results = response.putArray("Results");
    ArrayNode errors = response.putArray("Errors");
    synchronized (this) {
      if (leaderless) {
        respond(exchange, 500, "No cluster leader", 0);
        return;
      }
      JsonNode operations = JSON.readTree(body);
      for (int i = 0; i < operations.size(); i++) {
        JsonNode operation = operation(operations.path(i));
        boolean reads = operation.path("Verb").asText().equals("get");
        boolean allowed =
            reads
                ? entries.containsKey(operation.path("Key").asText())
                : mayWrite(operation.path("Key").asText(), cas(operation));
        if (!allowed) {
          errors
              .addObject()
              .put("OpIndex", i)
              .put("What", "key does not exist or its index is stale");
        }
      }
      if (errors.isEmpty()) {
        index++;
        for (JsonNode operation : operations) {
          execute(operation(operation), results);
        }
        out.flush();
        notifyAll();
      }
    }
    respond(exchange, errors.isEmpty() ? 200 : 409, response.toString(), 0);
  }

  /** Accepts "KV" and "kv", because the JSON reader of Consul ignores the case of names. */
  private static JsonNode operation(JsonNode operation) {
    return operation.has("KV") ? operation.path("KV") : operation.path("kv");
  }

  private static String cas(JsonNode operation) {
    boolean checked = operation.path("Verb").asText().endsWith("cas");
    return checked ? operation.path("Index").asText() : null;
  }

  private void execute(JsonNode operation, ArrayNode results) throws IOException {
    String key = operation.path("Key").asText();
    switch (operation.path("Verb").asText()) {
      case "get" -> results.addObject().set("KV", toJson(key, entries.get(key)));
      case "set", "cas" -> put(key, Base64.getDecoder().decode(operation.path("Value").asText()));
      case "delete", "delete-cas" -> put(key, null);
      default ->
          throw new IllegalArgumentException(
              "transaction verb not supported by the Consul emulator: " + operation);
    }
  }

  private static ObjectNode toJson(String key, Entry entry) {
    return JSON.createObjectNode()
        .put("LockIndex", 0)
        .put("Key", key)
        .put("Flags", 0)
        .put("Value", Base64.getEncoder().encodeToString(entry.value()))
        .put("CreateIndex", entry.created())
        .put("ModifyIndex", entry.modified());
  }

  private void apply(String key, byte[] value, long atIndex) {
    if (value == null) {
      entries.remove(key);
      removed.put(key, atIndex);
    } else {
      Entry previous = entries.get(key);
      entries.put(key, new Entry(value, previous == null ? atIndex : previous.created(), atIndex));
    }
  }

  private long lastIndex(String key, boolean recurse) {
    long last = 1;
    for (Map.Entry<String, Entry> each : entries.tailMap(key).entrySet()) {
      if (!(recurse ? each.getKey().startsWith(key) : each.getKey().equals(key))) {
        break;
      }
      last = Math.max(last, each.getValue().modified());
    }
    for (Map.Entry<String, Long> each : removed.entrySet()) {
      if (recurse ? each.getKey().startsWith(key) : each.getKey().equals(key)) {
        last = Math.max(last, each.getValue());
      }
    }
    return last;
  }

  private void get(HttpExchange exchange, String key, Map<String, String> query)
      throws IOException, InterruptedException {
    boolean recurse = query.containsKey("recurse");
    long after = Long.parseLong(query.getOrDefault("index", "0"));
    ArrayNode list = JSON.createArrayNode();
    long last;
    synchronized (this) {
      long deadlineNanos =
          System.nanoTime() + 1_000_000 * (after == 0 ? 0 : parseWaitMillis(query.get("wait")));
      while (lastIndex(key, recurse) == after && !leaderless) {
        long leftMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
        if (leftMillis <= 0) {
          break;
        }
        wait(leftMillis);
      }
      last = lastIndex(key, recurse);
      for (Map.Entry<String, Entry> each : entries.tailMap(key).entrySet()) {
        if (!(recurse ? each.getKey().startsWith(key) : each.getKey().equals(key))) {
          break;
        }
        list.add(toJson(each.getKey(), each.getValue()));
      }
    }
    respond(exchange, list.isEmpty() ? 404 : 200, list.isEmpty() ? "" : list.toString(), last);
  }

  /**
   * Parses the wait of a blocking query, such as 10s, 500ms or 5m, into milliseconds; the default
   * is five minutes.
   */
  private static long parseWaitMillis(String text) {
    if (text == null) {
      return 300_000;
    }
    long number = Long.parseLong(text.replaceAll("[^0-9]", ""));
    return Math.min(
        MAX_WAIT_MS, number * (text.endsWith("ms") ? 1 : text.endsWith("m") ? 60_000 : 1_000));
  }

  private void respond(HttpExchange exchange, int status, String text, long atIndex)
      throws IOException {
    byte[] body =
        (corruptsResponses && status == 200 ? text.substring(0, text.length() / 2) + "\0{" : text)
            .getBytes(UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("X-Consul-Index", Long.toString(atIndex));
    exchange.getResponseHeaders().set("X-Consul-KnownLeader", "true");
    exchange.getResponseHeaders().set("X-Consul-LastContact", "0");
    byteCount.addAndGet(body.length);
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }
}
