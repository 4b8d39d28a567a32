package shelffront.coordination;

import com.google.common.net.HostAndPort;
import java.math.BigInteger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.kiwiproject.consul.Consul;
import org.kiwiproject.consul.ConsulException;
import org.kiwiproject.consul.KeyValueClient;
import org.kiwiproject.consul.model.ConsulResponse;
import org.kiwiproject.consul.model.kv.ImmutableOperation;
import org.kiwiproject.consul.model.kv.Operation;
import org.kiwiproject.consul.model.kv.TxResponse;
import org.kiwiproject.consul.model.kv.Verb;
import org.kiwiproject.consul.option.ConsistencyMode;
import org.kiwiproject.consul.option.ImmutableDeleteOptions;
import org.kiwiproject.consul.option.ImmutablePutOptions;
import org.kiwiproject.consul.option.ImmutableQueryOptions;
import shelffront.coordination.CoordinationException.EngineGarbled;
import shelffront.coordination.CoordinationException.EngineRefused;
import shelffront.coordination.CoordinationException.EngineUnreachable;

/**
 * Consul's KV store as the engine, through its agent: check-and-set by ModifyIndex, blocking
 * queries for the watch. Reads are in mode {@code consistent}; in the default one an old leader
 * that was cut off may answer for a while.
 */
public final class ConsulCoordinationStore implements CoordinationStore {

  private static final int CONFLICT = 409;

  private final String where;
  private final Consul brief;
  private final Consul patient;
  private final KeyValueClient calls;
  private final KeyValueClient watches;
  private final String wait;

  /**
   * Calls are given up after the time; a watch that nothing changes answers after as long, and one
   * second at least.
   */
  public ConsulCoordinationStore(String host, int port, Duration most) {
    where = host + ":" + port;
    HostAndPort at = HostAndPort.fromParts(host, port);
    brief = builder(at, most.toMillis(), most.toMillis()).build();
    // The client sends waits in whole seconds only.
    long seconds = Math.max(1, most.toSeconds());
    patient = builder(at, most.toMillis(), 1000 * seconds + most.toMillis()).build();
    calls = brief.keyValueClient();
    watches = patient.keyValueClient();
    wait = seconds + "s";
  }

  private static Consul.Builder builder(HostAndPort at, long connectMillis, long readMillis) {
    return Consul.builder()
        .withHostAndPort(at)
        .withPing(false)
        .withConnectTimeoutMillis(connectMillis)
        .withReadTimeoutMillis(readMillis)
        .withWriteTimeoutMillis(connectMillis);
  }

  private <T> T ask(Supplier<T> call) throws CoordinationException {
    try {
      return call.get();
    } catch (ConsulException e) {
      if (e.hasCode()) {
        throw new EngineRefused(where, e.getCode());
      }
      throw e.getCause() instanceof com.fasterxml.jackson.core.JacksonException
          ? new EngineGarbled("the engine at " + where + " answered what can't be read", e)
          : new EngineUnreachable(where, e);
    } catch (RuntimeException e) { // the client's own, at an answer that lacks what it must have
      throw new EngineGarbled("the engine at " + where + " answered what can't be read: " + e, e);
    }
  }

  private static Value value(org.kiwiproject.consul.model.kv.Value v) {
    return new Value(v.getKey(), v.getModifyIndex(), v.getValueAsString().orElse(""));
  }

  private static ImmutableQueryOptions.Builder consistent() {
    return ImmutableQueryOptions.builder().consistencyMode(ConsistencyMode.CONSISTENT);
  }

  @Override
  public Value read(String key) throws CoordinationException {
    return ask(
        () ->
            calls
                .getValue(key, consistent().build())
                .map(ConsulCoordinationStore::value)
                .orElse(null));
  }

  @Override
  public Listing list(String prefix) throws CoordinationException {
    return ask(() -> listing(calls.getConsulResponseWithValues(prefix, consistent().build())));
  }

  @Override
  public Listing watch(String prefix, long after) throws CoordinationException {
    return ask(
        () ->
            listing(
                watches.getConsulResponseWithValues(
                    prefix, consistent().index(BigInteger.valueOf(after)).wait(wait).build())));
  }

  private static Listing listing(
      ConsulResponse<List<org.kiwiproject.consul.model.kv.Value>> answer) {
    List<Value> values = new ArrayList<>();
    if (answer.getResponse() != null) {
      answer.getResponse().forEach(v -> values.add(value(v)));
    }
    return new Listing(answer.getIndex() == null ? 0 : answer.getIndex().longValue(), values);
  }

  @Override
  public boolean checkAndSet(String key, long index, String text) throws CoordinationException {
    return ask(
        () -> calls.putValue(key, text, 0, ImmutablePutOptions.builder().cas(index).build()));
  }

  @Override
  public void checkAndDelete(String key, long index) throws CoordinationException {
    ask(
        () -> {
          calls.deleteKey(key, ImmutableDeleteOptions.builder().cas(index).build());
          return null;
        });
  }

  @Override
  public boolean transact(List<Write> writes) throws CoordinationException {
    return transaction(
            writes.stream().map(ConsulCoordinationStore::operation).toArray(Operation[]::new))
        != null;
  }

  private static Operation operation(Write write) {
    boolean removes = write.newText() == null;
    boolean checked = write.index() != Write.ANY_INDEX;
    Verb verb =
        removes
            ? checked ? Verb.DELETE_CHECK_AND_SET : Verb.DELETE
            : checked ? Verb.CHECK_AND_SET : Verb.SET;
    ImmutableOperation.Builder operation = Operation.builder(verb).key(write.key());
    if (!removes) {
      operation.value(write.newText());
    }
    return checked ? operation.index(BigInteger.valueOf(write.index())).build() : operation.build();
  }

  @Override
  public List<Value> readAll(List<String> keys) throws CoordinationException {
    List<Value> found =
        transaction(
            keys.stream()
                .map(k -> Operation.builder(Verb.GET).key(k).build())
                .toArray(Operation[]::new));
    if (found == null) { // a key that is not there ends a transaction of reads
      found = new ArrayList<>();
      for (String key : keys) {
        Value value = read(key);
        if (value != null) {
          found.add(value);
        }
      }
    }
    return found;
  }

  /** The values that it read or wrote; null where it was refused for what its keys hold. */
  private List<Value> transaction(Operation... operations) throws CoordinationException {
    try {
      TxResponse response = ask(() -> calls.performTransaction(operations).getResponse());
      List<Value> values = new ArrayList<>();
      response.results().forEach(r -> r.values().forEach(v -> values.add(value(v))));
      return values;
    } catch (EngineRefused e) {
      if (e.status() == CONFLICT) {
        return null;
      }
      throw e;
    }
  }

  @Override
  public void close() {
    brief.destroy();
    patient.destroy();
  }
}
