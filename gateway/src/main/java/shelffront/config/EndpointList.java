package shelffront.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;

/**
 * A list of database hosts in discovery's form: the module's members, and where each is to be
 * reached.
 */
public record EndpointList(
    long revision,
    boolean complete,
    List<Endpoint> endpoints,
    Map<String, InetSocketAddress> addresses) {

  private static final Map<String, Availability> PHASES =
      Map.of(
          "Ready",
          Availability.READY,
          "Terminating",
          Availability.DRAINING,
          "Gone",
          Availability.REMOVED);

  public static EndpointList empty() {
    return new EndpointList(0, true, List.of(), Map.of());
  }

  /**
   * The list after news: those of a complete one alone, else with the changes put in and those gone
   * left out.
   */
  public EndpointList apply(EndpointList news) {
    if (news.complete) {
      return news;
    }
    Map<String, Endpoint> all = new LinkedHashMap<>();
    endpoints.forEach(member -> all.put(member.id(), member));
    news.endpoints.forEach(member -> all.put(member.id(), member));
    all.values().removeIf(member -> member.availability() == Availability.REMOVED);
    Map<String, InetSocketAddress> where = new HashMap<>(addresses);
    where.putAll(news.addresses);
    where.keySet().retainAll(all.keySet());
    return new EndpointList(news.revision, true, List.copyOf(all.values()), Map.copyOf(where));
  }

  /**
   * Reads a list as discovery and the configuration write it.
   *
   * @throws MalformedInputException where an entry lacks a field or has one that does not fit
   */
  public static EndpointList read(Map<?, ?> object) throws MalformedInputException {
    List<Endpoint> members = new ArrayList<>();
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    if (!(object.get("members") instanceof List<?> entries)) {
      throw new MalformedInputException("members is not an array");
    }
    for (Object entry : entries) {
      if (!(entry instanceof Map<?, ?> member)) {
        throw new MalformedInputException("a member is not an object");
      }
      String id = JsonReader.text(member, "id");
      Availability phase = PHASES.get(JsonReader.text(member, "phase"));
      if (phase == null) {
        throw new MalformedInputException("phase of " + id + " is not known");
      }
      if (phase != Availability.REMOVED) {
        addresses.put(id, GatewayConfig.parseAddress(JsonReader.text(member, "host_port")));
      }
      members.add(
          new Endpoint(
              id,
              member.get("flavor") instanceof String kind ? kind : "",
              member.get("locality") instanceof String zone ? zone : "",
              (int) JsonReader.number(member, "cell", 0),
              JsonReader.number(member, "size", 1),
              (long) JsonReader.number(member, "up_since_ms", 0) * 1000,
              "writer".equals(member.get("access")),
              phase));
    }
    return new EndpointList(
        (long) JsonReader.number(object, "revision", 0),
        Boolean.TRUE.equals(object.get("complete")),
        List.copyOf(members),
        Map.copyOf(addresses));
  }
}
