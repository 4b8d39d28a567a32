package shelffront.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shelffront.config.MalformedInputException;
import shelffront.config.RoutingSettingsCodec;
import shelffront.decision.RoutingEngine;
import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;
import shelffront.routing.EndpointUpdateKind;
import shelffront.routing.LoadReport;
import shelffront.routing.Request;
import shelffront.routing.RequestClass;
import shelffront.routing.Role;
import shelffront.routing.Router;
import shelffront.routing.RouterActions;
import shelffront.routing.RoutingSettings;

/**
 * Speaks the simulator's wire: reads batches of events, hands them to the instances, writes their
 * actions.
 */
public final class SimulatorAdapter {

  private static final Map<String, AttemptStatus> STATUSES =
      Map.of(
          "ok",
          AttemptStatus.OK,
          "error",
          AttemptStatus.ERROR,
          "full",
          AttemptStatus.CAPACITY_EXCEEDED,
          "timeout",
          AttemptStatus.TIMEOUT,
          "connect_failed",
          AttemptStatus.CONNECT_FAILED,
          "reset",
          AttemptStatus.RESET,
          "cancelled",
          AttemptStatus.CANCELLED,
          "moot",
          AttemptStatus.NOT_SENT,
          "miss",
          AttemptStatus.REPLICA_UNSUITABLE);
  private static final Map<String, Availability> AVAILABILITIES =
      Map.of(
          "live",
          Availability.READY,
          "quiescing",
          Availability.DRAINING,
          "dead",
          Availability.REMOVED);
  private static final Map<String, EndpointUpdateKind> LIST_KINDS =
      Map.of(
          "changes",
          EndpointUpdateKind.DELTA,
          "all",
          EndpointUpdateKind.SNAPSHOT,
          "remembered",
          EndpointUpdateKind.CACHED,
          "refused",
          EndpointUpdateKind.FAILED);

  /**
   * A hosted instance: the module, the clock time from which positions are counted, the places of
   * its classes.
   */
  private record Instance(Router router, long zero, Map<String, Integer> classes) {}

  private final JsonParser in;
  private final JsonGenerator out;
  private final Map<Integer, Instance> instances = new TreeMap<>();
  private final Map<Integer, List<Endpoint>> catalogs = new HashMap<>();
  private long now;

  public SimulatorAdapter(InputStream input, OutputStream output) {
    try {
      JsonFactory factory = new JsonFactory();
      in = factory.createParser(input);
      out = factory.createGenerator(output);
      out.setPrettyPrinter(new MinimalPrettyPrinter(""));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  public void run() throws IOException, MalformedInputException {
    boolean inBatch = false;
    int line = 1;
    try {
      while (in.nextToken() != null) {
        line = in.currentLocation().getLineNr();
        if (!(readValue() instanceof List<?> values)
            || values.isEmpty()
            || !(values.get(0) instanceof String name)) {
          throw new MalformedInputException("not an array that begins with a name");
        }
        SimulatorMessage row = new SimulatorMessage(name, values, 1);
        if (name.equals("clock")) {
          now = row.integer("time");
          inBatch = true;
        } else if (!inBatch) {
          throw new MalformedInputException(name + " outside a batch");
        } else if (name.equals("eofBatch")) {
          inBatch = false;
          begin("ok");
          end();
          out.flush();
        } else {
          event(name, row);
        }
      }
      if (inBatch) {
        throw new MalformedInputException("input ended inside a batch");
      }
    } catch (JsonProcessingException e) {
      int at = e.getLocation() == null ? line : e.getLocation().getLineNr();
      String text = e.getOriginalMessage().lines().findFirst().orElse("");
      throw new MalformedInputException("line " + at + ": " + text);
    } catch (MalformedInputException e) {
      throw new MalformedInputException("line " + line + ": " + e.getMessage());
    }
  }

  private Object readValue() throws IOException {
    switch (in.currentToken()) {
      case START_ARRAY -> {
        List<Object> list = new ArrayList<>(12);
        while (in.nextToken() != JsonToken.END_ARRAY) {
          list.add(readValue());
        }
        return list;
      }
      case START_OBJECT -> {
        Map<String, Object> map = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
          String key = in.currentName();
          in.nextToken();
          map.put(key, readValue());
        }
        return map;
      }
      case VALUE_STRING -> {
        return in.getText();
      }
      case VALUE_NUMBER_INT -> {
        return in.getLongValue();
      }
      case VALUE_NUMBER_FLOAT -> {
        return in.getDoubleValue();
      }
      case VALUE_TRUE -> {
        return Boolean.TRUE;
      }
      case VALUE_FALSE -> {
        return Boolean.FALSE;
      }
      default -> {
        return null;
      }
    }
  }

  private void event(String name, SimulatorMessage row)
      throws IOException, MalformedInputException {
    if (name.equals("catalog")) {
      int list = (int) row.integer("list");
      List<Endpoint> members = new ArrayList<>();
      for (Object entry : row.array("members")) {
        if (!(entry instanceof List<?> values)) {
          throw new MalformedInputException("catalog: an entry is not an array");
        }
        members.add(member(new SimulatorMessage("catalog entry", values, 0)));
      }
      catalogs.put(list, List.copyOf(members));
      return;
    }
    int proxy = (int) row.integer("proxy");
    if (name.equals("powerOff")) {
      instances.remove(proxy);
      return;
    }
    if (name.equals("up")) {
      long seed = row.integer("randomSeed");
      Map<?, ?> facts = row.object("facts");
      if (facts == null) {
        throw new MalformedInputException("up: facts are missing");
      }
      RoutingSettings settings = RoutingSettingsCodec.read(facts);
      Map<String, Integer> classes = new HashMap<>();
      for (RequestClass c : settings.requestClasses()) {
        classes.put(c.name(), classes.size());
      }
      Instance instance =
          new Instance(
              new RoutingEngine(new Sink(proxy)),
              RoutingSettingsCodec.positionZeroMicros(facts),
              classes);
      instances.put(proxy, instance);
      guarded(proxy, () -> instance.router.onStart(now, seed, settings));
      return;
    }
    Instance instance = instances.get(proxy);
    if (instance == null) {
      throw new MalformedInputException(name + ": proxy " + proxy + " has not been started");
    }
    Runnable call = translate(name, row, instance);
    if (call != null) {
      guarded(proxy, call);
    }
  }

  /**
   * The call on the module that an event stands for; null for an event that the module does not
   * need.
   */
  private Runnable translate(String name, SimulatorMessage row, Instance instance)
      throws MalformedInputException {
    Router router = instance.router;
    switch (name) {
      case "discovery" -> {
        EndpointUpdateKind kind = row.word("kind", LIST_KINDS);
        long version = row.integer("serial", 0);
        long list = row.integer("list", -1);
        List<Endpoint> members =
            kind == EndpointUpdateKind.FAILED ? List.of() : catalogs.get((int) list);
        if (members == null) {
          throw new MalformedInputException("discovery: list " + list + " was not given");
        }
        return () -> router.onEndpoints(now, kind, version, members);
      }
      case "query" -> {
        String id = row.text("xid");
        String className = row.text("class");
        Integer classIndex = instance.classes.get(className);
        if (classIndex == null) {
          throw new MalformedInputException(
              "query: class " + className + " is not in the settings");
        }
        row.optionalText("party");
        String session = row.optionalText("sess");
        long left = row.integer("ttl");
        row.number("estimate", 0);
        int group = (int) row.integer("cluster", 0);
        double tokenMs = row.number("tokenMs", 0);
        boolean repeat = (row.integer("opts", 0) & 2) != 0;
        // Rounded down: a write taken for older than it is would ask too little of a replica.
        long after =
            tokenMs > 0 ? now - Math.max(1, (long) Math.floor(tokenMs * 1000)) : Router.UNKNOWN;
        Request request = new Request(id, classIndex, session, group, left, after, repeat);
        return () -> router.onRequest(now, request);
      }
      case "reply" -> {
        String id = row.text("xid");
        AttemptStatus status = row.word("stateCode", STATUSES);
        boolean finished = row.flag("doneFlag");
        int attempt = (int) row.integer("seqNo");
        long took = row.integer("took", 0);
        long stand = row.integer("stand", 0);
        String member = row.text("member");
        LoadReport load = load(row.object("usage"), instance.zero);
        Role role = stand % 4 == 1 ? Role.PRIMARY : stand % 4 == 2 ? Role.REPLICA : Role.UNKNOWN;
        long position = stand >= 4 ? instance.zero + stand / 4 * 1000 : Router.UNKNOWN;
        AttemptOutcome outcome =
            new AttemptOutcome(id, attempt, member, status, finished, took, role, position, load);
        return () -> router.onAttemptOutcome(now, outcome);
      }
      case "sampled" -> {
        String member = row.text("member");
        AttemptStatus status = row.word("stateCode", STATUSES);
        long took = row.integer("took", 0);
        LoadReport load = load(row.object("usage"), instance.zero);
        return () -> router.onHealthCheckResult(now, member, status, took, load);
      }
      case "deadlineHit" -> {
        String handle = row.text("handle");
        return () -> router.onTimer(now, handle);
      }
      case "gone" -> {
        String id = row.text("xid");
        return () -> router.onClientDisconnected(now, id);
      }
      case "message" -> {
        int from = (int) row.integer("neighbour");
        byte[] payload = decode(row.text("payload"));
        return () -> router.onPeerMessage(now, from, payload);
      }
      case "underWay" -> {
        return null;
      }
      default -> throw new MalformedInputException("no event is called " + name);
    }
  }

  private static byte[] decode(String payload) throws MalformedInputException {
    try {
      return Base64.getDecoder().decode(payload);
    } catch (IllegalArgumentException e) {
      throw new MalformedInputException("message: payload is not base64");
    }
  }

  private static LoadReport load(Map<?, ?> usage, long zero) {
    if (usage == null || usage.isEmpty()) {
      return null;
    }
    double x0 = figure(usage, "x0");
    double x1 = figure(usage, "x1");
    long position = x0 < 0 ? Router.UNKNOWN : zero + (long) Math.floor(x0 * 1e6);
    Role role = x1 < 0 ? Role.UNKNOWN : x1 >= 0.5 ? Role.PRIMARY : Role.REPLICA;
    return new LoadReport(
        position,
        role,
        figure(usage, "outstanding"),
        figure(usage, "backlog"),
        figure(usage, "utilization"));
  }

  private static double figure(Map<?, ?> usage, String name) {
    return usage.get(name) instanceof Number n ? n.doubleValue() : -1;
  }

  private static Endpoint member(SimulatorMessage row) throws MalformedInputException {
    String kind = row.optionalText("familyType");
    String zone = row.optionalText("dc");
    String id = row.text("member");
    double size = row.number("capacityHint", 1);
    long startedAt = row.integer("launched", 0);
    int group = (int) row.integer("group", 0);
    boolean primary = row.number("writer", 0) >= 0.5;
    return new Endpoint(
        id,
        kind == null ? "" : kind,
        zone == null ? "" : zone,
        group,
        size,
        startedAt,
        primary,
        row.word("availability", AVAILABILITIES));
  }

  /** Runs one event of an instance; what the module throws is reported and never swallowed. */
  private void guarded(int proxy, Runnable call) throws IOException {
    try {
      call.run();
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      begin("giveIn");
      out.writeNumber(proxy);
      out.writeString(e + (trace.length > 0 ? " at " + trace[0] : ""));
      end();
    }
  }

  private void begin(String name) throws IOException {
    out.writeStartArray();
    out.writeString(name);
  }

  private void end() throws IOException {
    out.writeEndArray();
    out.writeRaw('\n');
  }

  /** Writes the actions of one instance. */
  private final class Sink implements RouterActions {

    private final int proxy;

    Sink(int proxy) {
      this.proxy = proxy;
    }

    /** Writes one action; numbers stay numbers, everything else is text. */
    private void action(String name, Object... values) {
      try {
        begin(name);
        out.writeNumber(proxy);
        for (Object value : values) {
          if (value instanceof Long || value instanceof Integer) {
            out.writeNumber(((Number) value).longValue());
          } else if (value instanceof Boolean b) {
            out.writeBoolean(b);
          } else {
            out.writeString((String) value);
          }
        }
        end();
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }

    @Override
    public void startAttempt(String requestId, String member, long timeout) {
      action("place", requestId, timeout, member);
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
      action("abortAttempt", requestId, attempt);
    }

    @Override
    public void reject(String requestId, long retryAfter) {
      action("reject", requestId, retryAfter);
    }

    @Override
    public void fail(String requestId) {
      action("fail", requestId);
    }

    @Override
    public void checkHealth(String member) {
      action("soundOut", member);
    }

    @Override
    public void setTimer(String name, long at) {
      action("wakeMe", name, at);
    }

    @Override
    public void watchEndpoints(boolean on) {
      action("listen", on);
    }

    @Override
    public void fetchEndpoints() {
      action("pull");
    }

    @Override
    public void sendToPeers(int peer, byte[] payload) {
      String text = Base64.getEncoder().encodeToString(payload);
      if (peer < 0) {
        action("publish", "all", text);
      } else {
        action("publish", peer, text);
      }
    }

    @Override
    public void closeIdleConnections(String member) {
      action("disconnect", member);
    }

    @Override
    public void log(String text) {
      action("journalLine", text);
    }
  }
}
