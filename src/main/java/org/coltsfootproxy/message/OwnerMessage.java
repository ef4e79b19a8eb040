package org.coltsfootproxy.message;

import java.util.List;
import org.coltsfootproxy.base.WireCode;

/**
 * Messages between entries about the ownership of token buckets.
 *
 * <p>Organisations are divided into shards. The entry that holds a shard's lease owns the token
 * buckets of the shard's organisations.
 */
public sealed interface OwnerMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.CONTROL;
    }

    /**
     * Entry to entry: announces the shards that the sender owns.
     *
     * @param owned all shards whose lease the sender holds; empty if it holds none
     */
    @WireCode(450)
    record Owns(List<Owned> owned) implements OwnerMessage {
        /** Copies the list. */
        public Owns {
            owned = List.copyOf(owned);
        }
    }

    /**
     * A shard and the fencing number of its lease.
     *
     * @param shard number of the shard, from 0
     * @param fencing fencing number; if two entries claim a shard, the higher number is the later
     *     lease
     */
    record Owned(int shard, long fencing) {}
}
