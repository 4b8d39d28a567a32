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
 * A fleet's rollouts in the coordination store: its keys, and what they hold as JSON.
 *
 * <pre>
 *   shelffront/FLEET/standing/SUBJECT                   the state of a subject
 *   shelffront/FLEET/members/SUBJECT/INSTANCE.TERM      a member of a subject
 *   shelffront/FLEET/owner                              the leader: its instance and a count
 * </pre>
 *
 * <p>Threads: any may call; a call blocks for a bounded time. A {@link CoordinationException} says
 * that nothing is known of the outcome, an {@link EngineGarbled} that a key holds something else.
 */
final class RolloutStore implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** A subject's state as it was read. */
  record VersionedState(RolloutState state, long index) {}

  /**
   * The leader's key as it was read.
   *
   * @param index 0 where there is no such key
   * @param isOwn whether this instance wrote it
   */
  record LeaderKey(long index, boolean isOwn) {}

  private final CoordinationStore store;
  private final String instance;
  private final String statePrefix;
  private final String membersPrefix;
  private final String leaderKey;

  /** Of one instance, which is a run of a gateway: its keys are its own. */
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

  /** Whether it was written; index 0: only where the subject has no state yet. */
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

  /** The index of all states, once it has passed this one or the watch has ended. */
  long awaitStates(long afterIndex) throws CoordinationException {
    return store.watch(statePrefix, afterIndex).index();
  }

  private static RolloutState parseState(Subject subject, Value value) throws EngineGarbled {
    JsonNode json = ValueJson.object(value);
    int stage = subject.stageIndex(json.path("stage").asText());
    int target = subject.stageIndex(json.path("target").asText());
    long epoch = json.path("epoch").asLong();
    if (stage < 0 || target < 0 || epoch < 1) {
      throw new EngineGarbled(
          value.key() + " names no stages that this gateway knows: " + value.text(), null);
    }
    return new RolloutState(epoch, stage, target);
  }

  // Members

  String ownMemberKey(Subject subject, int term) {
    return membersPrefix + subject.name() + "/" + instance + "." + term;
  }

  /** The member of a key without what all members of its subject have in front. */
  String memberName(Subject subject, String memberKey) {
    return memberKey.substring((membersPrefix + subject.name() + "/").length());
  }

  Optional<VersionedMember> readMember(String memberKey) throws CoordinationException {
    Value value = store.read(memberKey);
    return value == null
        ? Optional.empty()
        : Optional.of(new VersionedMember(parseMember(value), value.index()));
  }

  /** All members of a subject by their keys, in the order of the keys. */
  Map<String, VersionedMember> readMembers(Subject subject) throws CoordinationException {
    Map<String, VersionedMember> members = new TreeMap<>();
    for (Value value : store.list(membersPrefix + subject.name() + "/").values()) {
      members.put(value.key(), new VersionedMember(parseMember(value), value.index()));
    }
    return members;
  }

  /**
   * Writes this instance's member and reads it back.
   *
   * @param nonce makes each write's text its own, so that its writer knows it again
   * @return the key's new index; empty where it is not known that this write is what it holds
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

  /** Whether the key still had the index. */
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
      throw new EngineGarbled(value.key() + " is no member: " + value.text(), null);
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

  /** Claims or renews leadership; whether the key still had the index. */
  boolean writeLeader(long expectedIndex, long heartbeat) throws CoordinationException {
    return store.checkAndSet(leaderKey, expectedIndex, instance + " " + heartbeat);
  }

  @Override
  public void close() {
    store.close();
  }
}
