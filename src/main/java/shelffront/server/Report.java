package shelffront.server;

import shelffront.Router;
import shelffront.Router.Load;
import shelffront.Router.Role;

/** A host's report on itself: {@code x0=1767225600.123,x1=0,queue=3}. */
final class Report {

    private Report() { }

    /** The figures that the module uses; null where the text is no report. */
    static Load read(String text) {
        if (text == null || text.isEmpty()) {
            return null;
        }
        long position = Router.UNKNOWN;
        Role role = Role.UNKNOWN;
        try {
            for (String part : text.split(",")) {
                int equals = part.indexOf('=');
                String name = equals < 0 ? "" : part.substring(0, equals).trim();
                if (name.equals("x0")) {
                    // Rounded down: a replica taken for further than it is could serve a stale read.
                    position = (long) Math.floor(Double.parseDouble(part.substring(equals + 1)) * 1e6);
                } else if (name.equals("x1")) {
                    role = Double.parseDouble(part.substring(equals + 1)) >= 0.5 ? Role.PRIMARY : Role.REPLICA;
                }
            }
        } catch (NumberFormatException e) {
            return null;
        }
        return new Load(position, role, -1, -1, -1);
    }

    static Role role(String word) {
        return "writer".equals(word) ? Role.PRIMARY : "reader".equals(word) ? Role.REPLICA : Role.UNKNOWN;
    }

    /** A position on the wire, in Unix milliseconds. */
    static long position(String milliseconds) {
        try {
            return milliseconds == null ? Router.UNKNOWN : Long.parseLong(milliseconds.trim()) * 1000;
        } catch (NumberFormatException e) {
            return Router.UNKNOWN;
        }
    }
}
