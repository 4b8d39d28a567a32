package shelffront.lab.world;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import shelffront.lab.model.Figures;
import shelffront.route.Router;
import shelffront.route.Router.ClassSettings;
import shelffront.route.Router.LagCheck;
import shelffront.route.Router.Limits;
import shelffront.route.Router.ListRole;
import shelffront.route.Router.Read;
import shelffront.route.Router.ReportSource;
import shelffront.route.Router.Rules;
import shelffront.route.Router.Scope;
import shelffront.route.Router.Settings;

/**
 * What the protocol leaves to a deployment: how positions and roles are told, how the list comes,
 * what is permitted. What gateways are told at their start, and what boxes, clients and the list
 * then do, follow from the same value.
 *
 * @param onceWrites whether there is a class of writes that must never run twice
 * @param carried whether clients carry the position of their session's last write, and roam with it
 * @param pushed whether the list is pushed: what its agent holds counts as told
 * @param reports where boxes report on themselves
 * @param stamped whether every answer tells the position
 * @param listRole what the list says of roles
 * @param copies whether a read may have two attempts out
 * @param retryAfter whether clients may be told when to come back
 * @param probePrice what a probe for each request costs
 */
public record Deployment(
    boolean onceWrites,
    boolean carried,
    boolean pushed,
    ReportSource reports,
    boolean stamped,
    ListRole listRole,
    boolean copies,
    boolean retryAfter,
    double probePrice) {

  private static final long MS = 1000;

  /**
   * Marks remembered by the gateway, a list that is asked for and names roles late, reports in
   * probes alone.
   */
  public static Deployment plain(boolean onceWrites) {
    return new Deployment(
        onceWrites, false, false, ReportSource.PROBES, true, ListRole.LATE, false, true, 0.01);
  }

  /**
   * Marks carried, a pushed list with the first roles, reports in every answer, copies, no word
   * when to come back.
   */
  public static Deployment carrying(boolean onceWrites) {
    return new Deployment(
        onceWrites, true, true, ReportSource.ANSWERS, true, ListRole.AT_START, true, false, 0.07);
  }

  /** Any that the protocol permits, each setting by itself. */
  static Deployment draw(UniformRandomProvider r, boolean onceWrites) {
    boolean stamped = r.nextBoolean();
    ReportSource reports =
        stamped && r.nextInt(3) == 0
            ? ReportSource.NONE
            : r.nextBoolean() ? ReportSource.ANSWERS : ReportSource.PROBES;
    return new Deployment(
        onceWrites,
        r.nextBoolean(),
        r.nextBoolean(),
        reports,
        stamped,
        ListRole.values()[r.nextInt(ListRole.values().length)],
        r.nextBoolean(),
        r.nextBoolean(),
        r.nextBoolean() ? 0.01 : 0.07);
  }

  List<ClassSettings> types() {
    List<ClassSettings> types =
        new ArrayList<>(
            List.of(
                type("map-read", 500 * MS, 1200 * MS, 2, Read.BOUNDED, 500 * MS),
                type("own-edit-read", 700 * MS, 2000 * MS, 3, Read.SESSION, 0),
                type("live-read", 500 * MS, 1500 * MS, 1, Read.FRESH, 0),
                new ClassSettings(
                    "map-write",
                    1200 * MS,
                    3000 * MS,
                    6,
                    0.7,
                    Router.Effect.KEYED,
                    Scope.GROUP,
                    2000 * MS,
                    Read.WRITE,
                    0)));
    if (onceWrites) {
      types.add(
          new ClassSettings(
              "once-write",
              1200 * MS,
              3000 * MS,
              6,
              0.7,
              Router.Effect.ONCE,
              Scope.GROUP,
              0,
              Read.WRITE,
              0));
    }
    return types;
  }

  private static ClassSettings type(
      String name, long aim, long giveUp, double worth, Read read, long bound) {
    return new ClassSettings(
        name, aim, giveUp, worth, 0, Router.Effect.REPEATABLE, Scope.GROUP, 0, read, bound);
  }

  /** What one of so many modules is told. */
  Settings settings(int self, int modules, Figures f) {
    LagCheck check =
        switch (f.check()) {
          case SILENT -> LagCheck.NONE;
          case REFUSE -> LagCheck.REFUSE;
          case WAIT -> LagCheck.WAIT;
        };
    return new Settings(
        self,
        modules,
        "a",
        1000,
        types(),
        check,
        f.patience(),
        stamped,
        carried,
        listRole,
        !pushed,
        reports,
        new Rules(
            2_000_000,
            f.coldFrom(),
            f.coldTime(),
            f.fall(),
            f.fallTime(),
            false,
            10_000_000,
            20_000),
        new Limits(8, 2_000_000, retryAfter, true, copies, true, false, 250_000, 30_000_000),
        0,
        probePrice);
  }
}
