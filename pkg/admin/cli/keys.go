package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/lavendershunt/lavendershunt/pkg/admin"
	"github.com/lavendershunt/lavendershunt/pkg/config"
)

// createdKey is the output of key create. It is the only place where the text of a key appears.
type createdKey struct {
	Key    string `json:"key"`
	Object object `json:"object"`
}

func editKey(flags *flag.FlagSet) func(*call, *config.Key) error {
	organisation := flags.String("organisation", "", "`id` of the organisation whose requests carry the key")
	budget := flags.String("budget", "", "default `budget` of the key's requests, without the organisation")
	operator := flags.Bool("operator", false, "make the key an operator key")
	return func(c *call, k *config.Key) error {
		if c.setFlags["organisation"] {
			k.Organisation = *organisation
		}
		if c.setFlags["budget"] {
			k.Budget = *budget
		}
		if c.setFlags["operator"] {
			k.Operator = *operator
		}
		return nil
	}
}

// createKey generates the key in lsctl, so that its text is never sent or stored.
func createKey(flags *flag.FlagSet) runFunc {
	apply := editKey(flags)
	return func(ctx context.Context, c *call) (result, error) {
		text, hash := admin.NewKey()
		value := config.Key{SHA256: hash}
		if err := apply(c, &value); err != nil {
			return result{}, err
		}
		if value.Organisation == "" && !value.Operator {
			return result{}, usagef("key create: -organisation or -operator is required")
		}
		o, err := putObject(ctx, c, config.KindKey, hash, value, 0)
		out := createdKey{Key: text, Object: o}
		return result{out, fmt.Sprintf("key %s\nIt is shown only now. The router stores its SHA-256 %s.", text, hash)}, err
	}
}
