package shelffront.coordination;

import com.fasterxml.jackson.core.JacksonException;
import com.google.common.net.HostAndPort;
import java.math.BigInteger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
 * The KV store of Consul, accessed through its agent: check-and-set by ModifyIndex, and blocking
 * queries for watches. Reads use the mode {@code consistent}, because in the default mode a former
 * leader that is partitioned off may serve stale data for a while.
 *
 * <p>Threads: thread-safe. Calls and watches use separate clients, so a waiting watch delays no
 * call.
 */
public final class ConsulCoordinationStore implements CoordinationStore {

  /** HTTP status of a transaction that was rolled back because a key did not meet its condition. */
  private static final int HTTP_CONFLICT = 409;

  private static final long MILLIS_PER_SECOND = 1000;

  private final String address;
  private final Consul callClient;
  private final Consul watchClient;
  private final KeyValueClient calls;
  private final KeyValueClient watches;
  private final String watchWait;

  /**
   * Creates a store that connects on the first call.
   *
   * @param timeout timeout of calls; also the wait of a watch without changes, in whole seconds and
   *     at least one second
   */
  public ConsulCoordinationStore(String host, int port, Duration timeout) {
    address = host + ":" + port;
    HostAndPort agent = HostAndPort.fromParts(host, port);
    long timeoutMillis = timeout.toMillis();
    callClient = builder(agent, timeoutMillis, timeoutMillis).build();
    // The client sends the wait of a blocking query in whole seconds only.
    long waitSeconds = Math.max(1, timeout.toSeconds());
    watchClient =
        builder(agent, timeoutMillis, MILLIS_PER_SECOND * waitSeconds + timeoutMillis).build();
    calls = callClient.keyValueClient();
    watches = watchClient.keyValueClient();
    watchWait = waitSeconds + "s";
  }

  private static Consul.Builder builder(HostAndPort agent, long connectMillis, long readMillis) {
    return Consul.builder()
        .withHostAndPort(agent)
        .withPing(false)
        .withConnectTimeoutMillis(connectMillis)
        .withReadTimeoutMillis(readMillis)
        .withWriteTimeoutMillis(connectMillis);
  }

  /** Calls the client and translates its exceptions. */
  private <T> T call(Supplier<T> request) throws CoordinationException {
    try {
      return request.get();
    } catch (ConsulException e) {
      throw translate(e);
    } catch (RuntimeException e) {
      // The client throws its own exceptions if a required field is missing in a response.
      throw new EngineGarbled(
          "the response of the coordination store at " + address + " is malformed: " + e, e);
    }
  }

  private CoordinationException translate(ConsulException exception) {
    if (exception.hasCode()) {
      return new EngineRefused(address, exception.getCode());
    }
    return exception.getCause() instanceof JacksonException
        ? new EngineGarbled(
            "the response of the coordination store at "
                + address
                + " is malformed: "
                + exception.getCause(),
            exception)
        : new EngineUnreachable(address, exception);
  }

  private static Value toValue(org.kiwiproject.consul.model.kv.Value read) {
    return new Value(read.getKey(), read.getModifyIndex(), read.getValueAsString().orElse(""));
  }

  private static ImmutableQueryOptions.Builder consistent() {
    return ImmutableQueryOptions.builder().consistencyMode(ConsistencyMode.CONSISTENT);
  }

  @Override
  public Value read(String key) throws CoordinationException {
    return call(
        () ->
            calls
                .getValue(key, consistent().build())
                .map(ConsulCoordinationStore::toValue)
                .orElse(null));
  }

  @Override
  public Listing list(String prefix) throws CoordinationException {
    return call(() -> toListing(calls.getConsulResponseWithValues(prefix, consistent().build())));
  }

  @Override
  public Listing watch(String prefix, long afterIndex) throws CoordinationException {
    ImmutableQueryOptions options =
        consistent().index(BigInteger.valueOf(afterIndex)).wait(watchWait).build();
    return call(() -> toListing(watches.getConsulResponseWithValues(prefix, options)));
  }

  private static Listing toListing(
      ConsulResponse<List<org.kiwiproject.consul.model.kv.Value>> response) {
    List<Value> values = new ArrayList<>();
    if (response.getResponse() != null) {
      response.getResponse().forEach(read -> values.add(toValue(read)));
    }
    return new Listing(response.getIndex() == null ? 0 : response.getIndex().longValue(), values);
  }

  @Override
  public boolean checkAndSet(String key, long expectedIndex, String text)
      throws CoordinationException {
    ImmutablePutOptions options = ImmutablePutOptions.builder().cas(expectedIndex).build();
    return call(() -> calls.putValue(key, text, 0, options));
  }

  @Override
  public void checkAndDelete(String key, long expectedIndex) throws CoordinationException {
    ImmutableDeleteOptions options = ImmutableDeleteOptions.builder().cas(expectedIndex).build();
    call(
        () -> {
          calls.deleteKey(key, options);
          return null;
        });
  }

  @Override
  public boolean transact(List<Write> writes) throws CoordinationException {
    Operation[] operations =
        writes.stream().map(ConsulCoordinationStore::toOperation).toArray(Operation[]::new);
    return transaction(operations).isPresent();
  }

  private static Operation toOperation(Write write) {
    boolean checked = write.index() != Write.ANY_INDEX;
    ImmutableOperation.Builder operation =
        Operation.builder(write.newText() == null ? deleteVerb(checked) : setVerb(checked))
            .key(write.key());
    if (write.newText() != null) {
      operation.value(write.newText());
    }
    return checked ? operation.index(BigInteger.valueOf(write.index())).build() : operation.build();
  }

  private static Verb deleteVerb(boolean checked) {
    return checked ? Verb.DELETE_CHECK_AND_SET : Verb.DELETE;
  }

  private static Verb setVerb(boolean checked) {
    return checked ? Verb.CHECK_AND_SET : Verb.SET;
  }

  @Override
  public List<Value> readAll(List<String> keys) throws CoordinationException {
    Operation[] reads =
        keys.stream()
            .map(key -> Operation.builder(Verb.GET).key(key).build())
            .toArray(Operation[]::new);
    Optional<List<Value>> values = transaction(reads);
    // Consul rolls back a transaction of reads if one of its keys does not exist.
    return values.isPresent() ? values.get() : readOneByOne(keys);
  }

  private List<Value> readOneByOne(List<String> keys) throws CoordinationException {
    List<Value> values = new ArrayList<>();
    for (String key : keys) {
      Value value = read(key);
      if (value != null) {
        values.add(value);
      }
    }
    return values;
  }

  /**
   * The values read or written by the transaction; empty if it was rolled back because a key did
   * not meet its condition.
   */
  private Optional<List<Value>> transaction(Operation... operations) throws CoordinationException {
    try {
      TxResponse response = call(() -> calls.performTransaction(operations).getResponse());
      List<Value> values = new ArrayList<>();
      response
          .results()
          .forEach(result -> result.values().forEach(read -> values.add(toValue(read))));
      return Optional.of(values);
    } catch (EngineRefused e) {
      if (e.status() == HTTP_CONFLICT) {
        return Optional.empty();
      }
      throw e;
    }
  }

  @Override
  public void close() {
    callClient.destroy();
    watchClient.destroy();
  }
}
