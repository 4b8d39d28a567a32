package shelffront.controlplane;

import java.util.List;
import shelffront.distribution.Version;

/**
 * Replicates the table of an upstream distributor by a subscription to all records. Threads: called
 * by its {@link Subscriber} under the lock of that.
 */
final class UpstreamFollower implements Subscriber.Owner {

  private final String name;
  private final Distributor distributor;

  UpstreamFollower(String name, Distributor distributor) {
    this.name = name;
    this.distributor = distributor;
  }

  @Override
  public DistributionMessages.SubscribeRequest subscribing() {
    return new DistributionMessages.SubscribeRequest(name, true, 0, List.of());
  }

  @Override
  public Version version() {
    return distributor.version();
  }

  @Override
  public boolean polled(DistributionMessages.PollResponse answer) {
    return distributor.apply(answer.update());
  }

  @Override
  public long beginAdding(List<String> names) {
    throw new UnsupportedOperationException("a subscription to all records has no names to add");
  }

  @Override
  public boolean added(List<String> names, DistributionMessages.ChangeNamesResponse answer) {
    throw new UnsupportedOperationException("a subscription to all records has no names to add");
  }

  @Override
  public void confirmed(long sentAtMicros, long statedAgeMicros) {
    distributor.confirm(sentAtMicros, statedAgeMicros);
  }
}
