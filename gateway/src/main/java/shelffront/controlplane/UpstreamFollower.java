package shelffront.controlplane;

import java.util.List;
import shelffront.distribution.Version;

/**
 * Replicates the table of an upstream distributor by a subscription to all records. Threads: called
 * by its {@link Subscriber} under the lock of that.
 */
final class UpstreamFollower implements Subscriber.Listener {

  private final String name;
  private final Distributor distributor;

  UpstreamFollower(String name, Distributor distributor) {
    this.name = name;
    this.distributor = distributor;
  }

  @Override
  public DistributionMessages.SubscribeRequest newSubscribeRequest() {
    return new DistributionMessages.SubscribeRequest(name, true, 0, List.of());
  }

  @Override
  public Version version() {
    return distributor.version();
  }

  @Override
  public boolean onPollResponse(DistributionMessages.PollResponse response) {
    return distributor.apply(response.update());
  }

  @Override
  public long beginEdition(List<String> names) {
    throw new UnsupportedOperationException("a subscription to all records has no names to add");
  }

  @Override
  public boolean onRecordsReceived(
      List<String> names, DistributionMessages.ChangeNamesResponse response) {
    throw new UnsupportedOperationException("a subscription to all records has no names to add");
  }

  @Override
  public void onConfirmed(long sentAtMicros, long statedAgeMicros) {
    distributor.confirm(sentAtMicros, statedAgeMicros);
  }
}
