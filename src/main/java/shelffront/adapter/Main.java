package shelffront.adapter;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** Command line of the adapter. */
public final class Main {

    private Main() { }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar shelffront.jar benchlink");
            System.exit(2);
        }
        Wire wire = new Wire(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out));
        try {
            wire.run();
        } catch (MalformedInputException | IOException e) {
            System.err.println("shelffront: " + e.getMessage());
            System.exit(1);
        }
    }
}
