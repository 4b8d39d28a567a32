package shelffront.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shelffront.route.Router.Availability;
import shelffront.route.Router.Member;

/**
 * A list of database hosts in discovery's form: the module's members, and where each is to be
 * reached.
 */
public record MemberList(
    long revision,
    boolean complete,
    List<Member> members,
    Map<String, InetSocketAddress> addresses) {

  private static final Map<String, Availability> PHASES =
      Map.of(
          "Ready",
          Availability.LIVE,
          "Terminating",
          Availability.DRAINING,
          "Gone",
          Availability.GONE);

  public static MemberList empty() {
    return new MemberList(0, true, List.of(), Map.of());
  }

  /**
   * The list after news: those of a complete one alone, else with the changes put in and those gone
   * left out.
   */
  public MemberList with(MemberList news) {
    if (news.complete) {
      return news;
    }
    Map<String, Member> all = new LinkedHashMap<>();
    members.forEach(m -> all.put(m.id(), m));
    news.members.forEach(m -> all.put(m.id(), m));
    all.values().removeIf(m -> m.availability() == Availability.GONE);
    Map<String, InetSocketAddress> where = new HashMap<>(addresses);
    where.putAll(news.addresses);
    where.keySet().retainAll(all.keySet());
    return new MemberList(news.revision, true, List.copyOf(all.values()), Map.copyOf(where));
  }

  public static MemberList read(Map<?, ?> object) throws MalformedInputException {
    List<Member> members = new ArrayList<>();
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    if (!(object.get("members") instanceof List<?> entries)) {
      throw new MalformedInputException("members is not an array");
    }
    for (Object entry : entries) {
      if (!(entry instanceof Map<?, ?> m)) {
        throw new MalformedInputException("a member is not an object");
      }
      String id = Json.text(m, "id");
      Availability phase = PHASES.get(Json.text(m, "phase"));
      if (phase == null) {
        throw new MalformedInputException("phase of " + id + " is not known");
      }
      if (phase != Availability.GONE) {
        addresses.put(id, GatewayConfig.address(Json.text(m, "host_port")));
      }
      members.add(
          new Member(
              id,
              m.get("flavor") instanceof String kind ? kind : "",
              m.get("locality") instanceof String zone ? zone : "",
              (int) Json.number(m, "cell", 0),
              Json.number(m, "size", 1),
              (long) Json.number(m, "up_since_ms", 0) * 1000,
              "writer".equals(m.get("access")),
              phase));
    }
    return new MemberList(
        (long) Json.number(object, "revision", 0),
        Boolean.TRUE.equals(object.get("complete")),
        List.copyOf(members),
        Map.copyOf(addresses));
  }
}
