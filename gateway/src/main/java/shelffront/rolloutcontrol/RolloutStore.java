package shelffront.rolloutcontrol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import shelffront.coordination.CoordinationException;
import shelffront.coordination.CoordinationException.EngineGarbled;
import shelffront.coordination.CoordinationStore;
import shelffront.coordination.CoordinationStore.Value;
import shelffront.coordination.ValueJson;
import shelffront.rollout.LeaseHolder;
import shelffront.rollout.Member;
import shelffront.rollout.RolloutLeader.VersionedMember;
import shelffront.rollout.RolloutState;

/**
 * Reads and writes a fleet's rollouts in the coordination store. This class defines the keys and
 * their values; states and members are JSON.
 *
 * <pre>
 *   shelffront/FLEET/standing/SUBJECT                   the state of a subject
 *   shelffront/FLEET/members/SUBJECT/INSTANCE.TERM      a member of a subject
 *   shelffront/FLEET/owner                              the leader: its instance and heartbeat
 * </pre>
 *
 * <p>Thread-safe; each call blocks for a bounded time. A {@link CoordinationException} means that
 * the outcome of the call is unknown, and an {@link EngineGarbled} that a value is malformed.
 */
final class RolloutStore implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** The state of a subject and the index of its key. */
  record VersionedState(RolloutState state, long index) {}

  /**
   * The leader key.
   *
   * @param index the index of the key, or 0 if it does not exist
   * @param isOwn whether this instance wrote the key
   */
  record LeaderKey(long index, boolean isOwn) {}

  private final CoordinationStore store;
  private final String instance;
  private final String statePrefix;
  private final String membersPrefix;
  private final String leaderKey;

  /** Creates the store of one instance, that is, of one run of a gateway with keys of its own. */
  RolloutStore(CoordinationStore store, String fleet, String instance) {
    this.store = store;
    this.instance = instance;
    String prefix = "shelffront/" + fleet + "/";
    statePrefix = prefix + "standing/";
    membersPrefix = prefix + "members/";
    leaderKey = prefix + "owner";
  }

  String instance() {
    return instance;
  }

  // States

  Optional<VersionedState> readState(Subject subject) throws CoordinationException {
    Value value = store.read(statePrefix + subject.name());
    return value == null
        ? Optional.empty()
        : Optional.of(new VersionedState(parseState(subject, value), value.index()));
  }

  /** Writes a state and returns whether the index matched; 0 requires that no state exists. */
  boolean writeState(Subject subject, long expectedIndex, RolloutState state)
      throws CoordinationException {
    String text =
        JSON.createObjectNode()
            .put("epoch", state.epoch())
            .put("stage", subject.stageName(state.stage()))
            .put("target", subject.stageName(state.target()))
            .toString();
    return store.checkAndSet(statePrefix + subject.name(), expectedIndex, text);
  }

  /** Waits until the states change after the given index or the watch ends; returns the index. */
  long awaitStateChange(long afterIndex) throws CoordinationException {
    return store.watch(statePrefix, afterIndex).index();
  }

  private static RolloutState parseState(Subject subject, Value value) throws EngineGarbled {
    JsonNode json = ValueJson.object(value);
    int stage = subject.stageIndex(json.path("stage").asText());
    int target = subject.stageIndex(json.path("target").asText());
    long epoch = json.path("epoch").asLong();
    if (stage < 0 || target < 0 || epoch < 1) {
      throw new EngineGarbled(
          "malformed rollout state at key "
              + value.key()
              + ": "
              + value.text()
              + "; expected epoch of at least 1, and stage and target among the stages configured"
              + " at this gateway",
          null);
    }
    return new RolloutState(epoch, stage, target);
  }

  // Members

  String ownMemberKey(Subject subject, int term) {
    return membersPrefix + subject.name() + "/" + instance + "." + term;
  }

  /** Returns the name of a member, which is its key without the prefix of the subject's members. */
  String memberName(Subject subject, String memberKey) {
    return memberKey.substring((membersPrefix + subject.name() + "/").length());
  }

  Optional<VersionedMember> readMember(String memberKey) throws CoordinationException {
    Value value = store.read(memberKey);
    return value == null
        ? Optional.empty()
        : Optional.of(new VersionedMember(parseMember(value), value.index()));
  }

  /** Returns all members of a subject by key, sorted by key. */
  Map<String, VersionedMember> readMembers(Subject subject) throws CoordinationException {
    Map<String, VersionedMember> members = new TreeMap<>();
    for (Value value : store.list(membersPrefix + subject.name() + "/").values()) {
      members.put(value.key(), new VersionedMember(parseMember(value), value.index()));
    }
    return members;
  }

  /**
   * Writes the member of this instance and reads it back to learn its index.
   *
   * @param nonce makes the value unique, so that the read can be matched to this write
   * @return the new index of the key, or empty if the write failed or the key does not hold its
   *     value
   */
  OptionalLong writeOwnMember(String memberKey, LeaseHolder.Write write, long nonce)
      throws CoordinationException {
    String text = memberText(write.member(), nonce);
    if (!store.checkAndSet(memberKey, write.expectedIndex(), text)) {
      return OptionalLong.empty();
    }
    Value written = store.read(memberKey);
    return written != null && written.text().equals(text)
        ? OptionalLong.of(written.index())
        : OptionalLong.empty();
  }

  /** Marks a member as revoked; returns whether the key still had the expected index. */
  boolean revoke(String memberKey, long expectedIndex, Member revoked)
      throws CoordinationException {
    return store.checkAndSet(memberKey, expectedIndex, memberText(revoked, 0));
  }

  void removeMember(String memberKey, long expectedIndex) throws CoordinationException {
    store.checkAndDelete(memberKey, expectedIndex);
  }

  private static String memberText(Member member, long nonce) {
    return JSON.createObjectNode()
        .put("epoch", member.epoch())
        .put("revoked", member.revoked())
        .put("nonce", nonce)
        .toString();
  }

  private static Member parseMember(Value value) throws EngineGarbled {
    JsonNode json = ValueJson.object(value);
    if (!json.path("epoch").isIntegralNumber() || !json.path("revoked").isBoolean()) {
      throw new EngineGarbled(
          "malformed member at key "
              + value.key()
              + ": "
              + value.text()
              + "; expected an integer epoch and a boolean revoked",
          null);
    }
    return new Member(json.path("epoch").asLong(), json.path("revoked").asBoolean());
  }

  // The leader

  LeaderKey readLeader() throws CoordinationException {
    Value value = store.read(leaderKey);
    return value == null
        ? new LeaderKey(0, false)
        : new LeaderKey(value.index(), value.text().startsWith(instance + " "));
  }

  /** Claims or renews leadership; returns whether the key still had the expected index. */
  boolean writeLeader(long expectedIndex, long heartbeat) throws CoordinationException {
    return store.checkAndSet(leaderKey, expectedIndex, instance + " " + heartbeat);
  }

  @Override
  public void close() {
    store.close();
  }
}
