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
 * A snapshot or delta of the endpoints of a tenant in the JSON format of discovery: the endpoints
 * as the decision module sees them, and the network address of each endpoint that is not removed.
 *
 * @param revision revision of the list at discovery
 * @param complete whether this is a snapshot; a delta otherwise
 * @param addresses network addresses by endpoint id
 */
public record EndpointList(
    long revision,
    boolean complete,
    List<Endpoint> endpoints,
    Map<String, InetSocketAddress> addresses) {

  private static final Map<String, Availability> AVAILABILITY_BY_PHASE =
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
   * Returns the list after an update. A snapshot replaces the list; a delta adds or replaces the
   * endpoints that it names and removes those whose availability is {@code REMOVED}.
   */
  public EndpointList apply(EndpointList update) {
    if (update.complete) {
      return update;
    }
    Map<String, Endpoint> endpointsById = new LinkedHashMap<>();
    endpoints.forEach(member -> endpointsById.put(member.id(), member));
    update.endpoints.forEach(member -> endpointsById.put(member.id(), member));
    endpointsById.values().removeIf(member -> member.availability() == Availability.REMOVED);
    Map<String, InetSocketAddress> updatedAddresses = new HashMap<>(addresses);
    updatedAddresses.putAll(update.addresses);
    updatedAddresses.keySet().retainAll(endpointsById.keySet());
    return new EndpointList(
        update.revision, true, List.copyOf(endpointsById.values()), Map.copyOf(updatedAddresses));
  }

  /**
   * Reads an endpoint list in the format that discovery and the configuration file share.
   *
   * @throws MalformedInputException if a required field of an entry is missing, or if a field has
   *     the wrong type or an unknown value
   */
  public static EndpointList read(Map<?, ?> object) throws MalformedInputException {
    List<Endpoint> members = new ArrayList<>();
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    if (!(object.get("members") instanceof List<?> entries)) {
      throw new MalformedInputException("members is missing or not an array");
    }
    for (Object entry : entries) {
      if (!(entry instanceof Map<?, ?> member)) {
        throw new MalformedInputException("members[" + members.size() + "] is not an object");
      }
      String id = JsonReader.text(member, "id");
      Availability availability = AVAILABILITY_BY_PHASE.get(JsonReader.text(member, "phase"));
      if (availability == null) {
        throw new MalformedInputException(
            "member "
                + id
                + " has the unknown phase \""
                + member.get("phase")
                + "\", expected Ready, Terminating or Gone");
      }
      if (availability != Availability.REMOVED) {
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
              availability));
    }
    return new EndpointList(
        (long) JsonReader.number(object, "revision", 0),
        Boolean.TRUE.equals(object.get("complete")),
        List.copyOf(members),
        Map.copyOf(addresses));
  }
}
