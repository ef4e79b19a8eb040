package org.coltsfootproxy.base;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** The number that stands for a record type on the wire and on disk; it is never reused. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface WireCode {
    /** Returns the number, unique below one sealed root. */
    int value();
}
