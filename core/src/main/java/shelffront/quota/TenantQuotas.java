package shelffront.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.stream.DoubleStream;

/**
 * Divides what a gateway can take among its tenants by weight: requests a second, and requests open
 * at a time. Work conserving: what one leaves idle others use, and it has its own back within
 * {@link #WINDOW_MICROS} for the rate, and as fast as others' open requests end for the places.
 * Where a tenant gives its classes shares, its own part is divided again in the same way.
 *
 * <p>Costs nothing for tenants that ask for nothing: figures are counted anew at the first request
 * after a window has passed, and only over those who asked of late. Times are microseconds and
 * never step back.
 *
 * <p>Where several event loops serve tenants, each has its own and all have one {@link
 * SharedCapacity}: each tells there what its tenants ask for whenever it divides, counts what the
 * others told as asked for too, and takes its own tenants' parts. So all come to the same division,
 * one window late at most, and none waits for another.
 */
public final class TenantQuotas {

  /**
   * The rate is divided anew this often; the time within which a change of demand or weight takes
   * effect.
   */
  public static final long WINDOW_MICROS = 100_000;

  /** Windows without a request after which a tenant no longer counts among those who ask. */
  private static final int FORGOTTEN = 20;

  /** Windows' worth of requests that may come at once. */
  private static final double BURST = 2;

  /**
   * Part of all places that requests beyond their tenants' own places may fill; the rest is kept
   * for the others.
   */
  private static final double LENT = 0.75;

  /**
   * Windows after which what another loop told of its demand no longer counts: it tells anew while
   * it is asked.
   */
  private static final int STALE = 3;

  /** What one loop's tenants asked for when it last divided. */
  private record Told(long at, double[] weights, double[] demands) {}

  /**
   * What several loops share. The only part that more than one thread touches; nothing in it waits.
   */
  public static final class SharedCapacity {

    private final double rate;
    private final int places;
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicReferenceArray<Told> told;

    /**
     * So many requests a second, 0 for no such bound, and so many open at a time for all together.
     */
    public SharedCapacity(double rate, int places, int loops) {
      this.rate = rate;
      this.places = places;
      told = new AtomicReferenceArray<>(loops);
    }

    /** Requests that hold a place now, of all tenants of all loops. */
    public int openRequests() {
      return open.get();
    }

    private boolean take(double most) {
      int before = open.get();
      while (before < most && !open.compareAndSet(before, before + 1)) {
        before = open.get();
      }
      return before < most;
    }
  }

  /** One that shares: a tenant, or a class of one. */
  public final class Quota {

    private double weight;
    private Quota[] parts;
    private final TokenBucket limit = new TokenBucket(0, 1, 0);
    private double asked; // since the window began
    private double demand; // a second
    private int idle; // windows without a request
    private boolean listed;
    private int open;

    private Quota(double weight, double[] classWeights) {
      set(weight, classWeights);
    }

    private void set(double newWeight, double[] classWeights) {
      weight = newWeight;
      if (classWeights == null || classWeights.length == 0) {
        parts = new Quota[0];
      } else if (parts == null || parts.length != classWeights.length) {
        parts = Arrays.stream(classWeights).mapToObj(w -> new Quota(w, null)).toArray(Quota[]::new);
      } else {
        for (int i = 0; i < parts.length; i++) {
          parts[i].weight = classWeights[i];
        }
      }
    }

    private void count(double seconds) {
      double last = asked / seconds;
      // The greater of the last window and the mean: a tenant that grows is not held back by its
      // past.
      demand = Math.max(last, (demand + last) / 2);
      idle = asked > 0 ? 0 : idle + 1;
      asked = 0;
    }
  }

  private final SharedCapacity common;
  private final int loop;
  private final double rate;
  private final int places;
  private final List<Quota> asking = new ArrayList<>();
  private double weights; // of those who ask here
  private double elsewhere; // of those who ask of other loops
  private long windowFrom;
  private boolean dirty; // a weight has changed: the rate is divided at the next request

  /**
   * Of the only loop: so many requests a second, 0 for no such bound, and so many open at a time
   * for all.
   */
  public TenantQuotas(double rate, int places, long now) {
    this(new SharedCapacity(rate, places, 1), 0, now);
  }

  /** Of one loop of several, by its number from 0. */
  public TenantQuotas(SharedCapacity common, int loop, long now) {
    this.common = common;
    this.loop = loop;
    rate = common.rate;
    places = common.places;
    windowFrom = now;
  }

  /**
   * A new tenant. Weights are above 0; one for each class, or null where its classes have no
   * shares.
   */
  public Quota register(double weight, double[] classWeights) {
    return new Quota(weight, classWeights);
  }

  /** Changes a tenant's weights; both follow with the next request. */
  public void updateWeights(Quota share, double weight, double[] classWeights) {
    weights += share.listed ? weight - share.weight : 0;
    share.set(weight, classWeights);
    dirty = true;
  }

  /** Forgets a tenant; its open requests still end by {@link #release}. */
  public void unregister(Quota share) {
    if (asking.remove(share)) {
      share.listed = false;
      weights -= share.weight;
    }
  }

  /**
   * Whether a request may be taken now: 0, and it holds a place until {@link #release}; else the
   * microseconds after which it is worth coming again.
   */
  public long admit(Quota share, int classIndex, long now) {
    if (!share.listed) {
      share.listed = true;
      asking.add(share);
      weights += share.weight;
      share.idle = 0;
      // Its own part at once: others give it back when the rate is next divided.
      double part = rate * share.weight / (weights + elsewhere);
      share.limit.reconfigure(part, part * BURST * WINDOW_MICROS / 1e6, now);
    }
    if (dirty || now - windowFrom >= WINDOW_MICROS) {
      dirty = false;
      divide(now);
    }
    share.asked++;
    Quota part = share.parts.length == 0 ? null : share.parts[classIndex];
    if (part != null) {
      part.asked++;
    }
    double most = share.open >= own(share) ? places * LENT : places;
    long wait =
        Math.max(share.limit.waitMicros(now), part == null ? 0 : part.limit.waitMicros(now));
    if (wait > 0 || !common.take(most)) {
      return Math.max(wait, WINDOW_MICROS);
    }
    share.limit.consume();
    if (part != null) {
      part.limit.consume();
    }
    share.open++;
    return 0;
  }

  /**
   * Places that are a tenant's own; one that asks alone leaves some all the same, for whoever comes
   * next.
   */
  private double own(Quota share) {
    return Math.max(
        1, Math.min(places * LENT, Math.floor(places * share.weight / (weights + elsewhere))));
  }

  /** The request has had its answer. */
  public void release(Quota share) {
    share.open--;
    common.open.decrementAndGet();
  }

  /** Requests that hold a place now, of all tenants of all loops. */
  public int openRequests() {
    return common.openRequests();
  }

  private void divide(long now) {
    // After a rest the last window's count says little of the time since: it is taken over one
    // window at least.
    double seconds = Math.min(10 * WINDOW_MICROS, Math.max(WINDOW_MICROS, now - windowFrom)) / 1e6;
    windowFrom = now;
    asking.forEach(s -> s.count(seconds));
    asking.removeIf(
        s -> {
          boolean forgotten = s.idle > FORGOTTEN && s.open == 0;
          s.listed = !forgotten;
          return forgotten;
        });
    weights = asking.stream().mapToDouble(s -> s.weight).sum();
    common.told.set(
        loop,
        new Told(
            now,
            asking.stream().mapToDouble(s -> s.weight).toArray(),
            asking.stream().mapToDouble(s -> s.demand).toArray()));
    List<Told> others = new ArrayList<>();
    for (int i = 0; i < common.told.length(); i++) {
      Told t = common.told.get(i);
      if (i != loop && t != null && now - t.at < STALE * WINDOW_MICROS) {
        others.add(t);
      }
    }
    elsewhere = others.stream().flatMapToDouble(t -> Arrays.stream(t.weights)).sum();
    if (rate > 0) {
      grant(rate, asking, others, now);
      for (Quota s : asking) {
        if (s.parts.length > 0) {
          for (Quota part : s.parts) {
            part.count(seconds);
          }
          grant(s.limit.perSecond(), Arrays.asList(s.parts), List.of(), now);
        }
      }
    }
  }

  /** Divides a rate; what nobody asks for is lent by weight, so that a burst finds it. */
  private static void grant(double rate, List<Quota> among, List<Told> others, long now) {
    double[] weight =
        DoubleStream.concat(
                among.stream().mapToDouble(s -> s.weight),
                others.stream().flatMapToDouble(t -> Arrays.stream(t.weights)))
            .toArray();
    double[] wanted =
        DoubleStream.concat(
                among.stream().mapToDouble(s -> s.demand),
                others.stream().flatMapToDouble(t -> Arrays.stream(t.demands)))
            .toArray();
    double[] parts = MaxMinFairness.divide(rate, weight, wanted);
    double spare = rate - Arrays.stream(parts).sum();
    double all = Arrays.stream(weight).sum();
    for (int i = 0; i < among.size(); i++) {
      // Its own part is free to it at any time, lent or not: who borrowed it has less after this
      // window.
      double part = Math.max(rate * weight[i] / all, parts[i] + spare * weight[i] / all);
      among.get(i).limit.reconfigure(part, part * BURST * WINDOW_MICROS / 1e6, now);
    }
  }
}
