/** Token buckets over the whole fleet and the grants that carry their tokens to entry hosts. */
package org.coltsfootproxy.limit;
