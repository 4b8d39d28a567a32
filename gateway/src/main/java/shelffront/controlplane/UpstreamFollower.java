package shelffront.controlplane;

import java.util.List;
import shelffront.distribution.Version;

/**
 * Keeps a distributor's table as that of another one, by a subscription to all records. Threads:
 * those of its {@link Subscriber}.
 */
final class UpstreamFollower implements Subscriber.Owner {

  private final String name;
  private final Distributor distributor;

  UpstreamFollower(String name, Distributor distributor) {
    this.name = name;
    this.distributor = distributor;
  }

  @Override
  public DistributionMessages.Subscribe subscribing() {
    return new DistributionMessages.Subscribe(name, true, 0, List.of());
  }

  @Override
  public Version version() {
    return distributor.version();
  }

  @Override
  public boolean polled(DistributionMessages.Polled answer) {
    return distributor.apply(answer.update());
  }

  @Override
  public long beginAdding(List<String> names) {
    throw new UnsupportedOperationException("all names are followed");
  }

  @Override
  public boolean added(List<String> names, DistributionMessages.Added answer) {
    throw new UnsupportedOperationException("all names are followed");
  }

  @Override
  public void confirmed(long sentAtMicros, long statedAgeMicros) {
    distributor.confirm(sentAtMicros, statedAgeMicros);
  }
}
