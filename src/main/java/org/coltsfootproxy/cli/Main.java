package org.coltsfootproxy.cli;

/** Entry point of the one binary. */
public final class Main {
    private Main() {}

    /** Runs the command that the arguments name. */
    public static void main(String[] args) {
        System.out.println("coltsfootproxy");
    }
}
